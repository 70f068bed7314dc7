Feature: The configuration after the log has lost its last changes
  The log comes back from an older copy and gives out the same offsets again.
  Entries that have folded the lost changes write them again.

  Scenario Outline: changes are lost
    Guards against entries that go on from different states, and against a
    change that was confirmed and is not in force any more.
    Given <count> entries and 8 changes of 3 services
    When the log loses the last <lost> changes
    And 6 further changes come
    Then all entries have the same state
    And each service is as its last change says
    And no service was ever as an earlier change says

    Examples:
      | count | lost |
      | 1     | 1    |
      | 3     | 4    |
      | 3     | 8    |
      | 12    | 5    |

  Scenario: a service is deleted in a lost change
    Guards against a service that comes back.
    Given 3 entries and 8 changes of 3 services
    And a service is deleted
    When the log loses the last 2 changes
    Then all entries have the same state
    And the service is not there

  Scenario: an operator writes a lost service before the entries do
    Guards against a change that is undone by one of before.
    Given 3 entries and 8 changes of 3 services
    When the log loses the last 3 changes
    And an operator writes the service of the last one before all entries
    Then all entries have the same state
    And each service is as its last change says

  Scenario: an entry starts after the log's return
    Guards against an entry that knows only the older copy.
    Given 3 entries and 8 changes of 3 services
    When the log loses the last 4 changes
    And an entry starts
    And 6 further changes come
    Then all entries have the same state
    And each service is as its last change says

  Scenario: the log comes back twice
    Given 3 entries and 8 changes of 3 services
    When the log loses the last 4 changes
    And 6 further changes come
    And the log loses the last 5 changes
    And 6 further changes come
    Then all entries have the same state
    And each service is as its last change says
    And no service was ever as an earlier change says

  Scenario: a snapshot is newer than the log
    Guards against an entry that starts from what the log does not have.
    Given 3 entries and 8 changes of 3 services
    And a snapshot is written
    When the log loses the last 4 changes
    And an entry starts
    And 6 further changes come
    Then all entries have the same state
    And each service is as its last change says
