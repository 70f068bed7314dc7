Feature: Entries gossip about each other and about engines
  Each entry passes on what it hears. What it sends depends on its number of
  connections, not on the number of entries.

  Scenario Outline: all entries start at once
    All hosts get power back and each entry knows three addresses. Until the
    entries know how many they are, none may use the budgets of the fleet.
    Given a fleet of <count> entries
    When <seconds> seconds pass after its start
    Then each entry counts <count> members
    And each entry has at most <links> connections

    Examples:
      | count | seconds | links |
      | 3     | 3       | 2     |
      | 68    | 5       | 20    |
      | 380   | 8       | 20    |

  Scenario: an idle fleet
    There are no requests. With a connection between every two entries,
    heartbeats alone took an eighth of a core of each host.
    Given a fleet of 68 entries
    When 20 seconds pass after its start
    Then an entry sends at most 5000 bytes a second in the 10 seconds after

  Scenario: an engine is about to leave
    Two seconds later it is gone, with all generations that were not moved. An
    entry that is not connected to its agent hears of it from other entries.
    Given a fleet of 68 entries
    When 8 seconds pass after its start
    And 3 entries hear that an engine is leaving
    Then all entries know within 100 ms

  Scenario: connections to a target break off
    Guards against a request lost by each entry at a target that looks idle.
    An entry that only passes messages on tells of outages as well.
    Given a fleet of 68 entries
    When 8 seconds pass after its start
    And a connection of one entry to a target breaks off
    Then all entries leave the target out within 100 ms

  Scenario Outline: an entry is told to stop, and starts again
    Guards against refusing callers who are sent from one leaving entry to the
    next. An entry that still counted as leaving after its restart would
    delay callers for nothing.
    Given a fleet of <count> entries
    When <seconds> seconds pass after its start
    And an entry is told to stop
    Then all know within 250 ms that one entry is leaving
    When 6 seconds later it has started again at its address
    Then all know within <back> ms that no entry is leaving

    Examples:
      | count | seconds | back |
      | 3     | 8       | 2000 |
      | 68    | 8       | 9000 |

  Scenario: reports arrive out of order
    A report that took a long way arrives after a later one. If it were
    accepted, an engine that is full would look empty.
    Given a fleet of 8 entries
    When 8 seconds pass after its start
    And an entry hears report 7 and then report 6 of an agent
    Then no entry accepts report 6

  Scenario: an agent starts again
    Its reports are numbered from one again. If they counted as old, requests
    would be placed at its engine by figures that no longer hold.
    Given a fleet of 8 entries
    When 8 seconds pass after its start
    And an entry hears report 900 of an agent, and report 1 of its next run
    Then all entries accept report 1

  Scenario: an entry stops
    It may only be cut off, so the others still count it among the entries
    that share the retry budget, but they assign no task to it.
    Given a fleet of 68 entries
    When 8 seconds pass after its start
    And an entry stops and 20 seconds pass
    Then no other entry counts it as live
    And each entry counts 68 members

  Scenario Outline: members that are no longer heard of
    In a large fleet heartbeats are rare. If members were kept for the same
    time in fleets of all sizes, a running one would be dropped between two
    heartbeats, and each entry would use more than its share of the retry
    budget.
    Given a table of <count> members that have just been heard
    When nothing is heard for <seconds> seconds
    Then it counts <left> members

    Examples:
      | count | seconds | left |
      | 3     | 50      | 3    |
      | 3     | 61      | 1    |
      | 380   | 290     | 380  |
      | 2000  | 1500    | 2000 |

  Scenario: an entry starts again at the same address
    It hears of the heartbeat counter that its previous run had reached. If it
    started below that, the others would ignore it for as long as that run had
    lasted.
    Given a table of members that has heard of beat 500 of its own entry
    Then its own beat is above 500

  Scenario: two groups of entries merge
    Each group was started while the other could not be reached. Without
    contact, each would count only its own members forever.
    Given a fleet of 20 entries in two groups that do not know each other
    When an entry of each is told the address of one of the other
    Then each entry counts 20 members within 10 seconds
