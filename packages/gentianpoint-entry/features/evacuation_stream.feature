Feature: Entries share evacuations through the log

  Scenario Outline: a data centre is evacuated and taken back
    Guards against entries that go on sending there, or never return.
    Given <count> entries that follow the evacuations in one log
    When the first entry evacuates north
    Then all entries have north as evacuated within 100 ms
    When the last entry takes north back
    Then all entries have nothing as evacuated within 100 ms

    Examples:
      | count |
      | 3     |
      | 380   |

  Scenario: an entry that starts in the middle of an evacuation
    Guards against an entry that serves before it has read the evacuations.
    Given 3 entries that follow the evacuations in one log
    When the first entry evacuates north
    And another entry starts
    Then it is ready only once it has north as evacuated

  Scenario: an entry that starts while the log is out
    Guards against an entry that never serves since it can't read the log.
    Given 3 entries that follow the evacuations in one log
    When the log is out
    And another entry starts
    Then it is ready within 1000 ms

  Scenario: the records of a long evacuation expire
    Guards against an entry that starts hours after the evacuation, when the
    log has dropped its record, and sends to the evacuated data centre; and
    against hundreds of entries that all repeat it.
    Given 380 entries that follow the evacuations in one log
    When the first entry evacuates north
    And the log drops the records of more than 60 s ago, for 600 s
    And another entry starts
    Then it is ready only once it has north as evacuated
    And at most 60 records were appended

  Scenario: a state that is repeated as the data centre is taken back
    Guards against a repeated state that undoes an end which its writer had
    not read yet.
    Given 3 entries that follow the evacuations in one log
    When the first entry evacuates north
    And the last entry takes north back
    And a state from before that is repeated
    Then all entries have nothing as evacuated within 100 ms

  Scenario: a record that can't be read
    Guards against an entry that ends because of a record of another release.
    Given 3 entries that follow the evacuations in one log
    When records that can't be read are appended
    And the first entry evacuates north
    Then all entries have north as evacuated within 100 ms
