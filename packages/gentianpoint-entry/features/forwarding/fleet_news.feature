Feature: Entries know of each other and of engines over few connections
  Each entry passes on what it hears. What one of them spends follows from its
  connections, not from the number of entries.

  Scenario Outline: all entries start at once
    All hosts get power back and each entry knows three addresses. Until they
    know how many they are, none may spend what belongs to all of them.
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
    Nobody calls. With a connection from every entry to every other, signs of
    life alone took an eighth of a core of each host.
    Given a fleet of 68 entries
    When 20 seconds pass after its start
    Then an entry sends at most 5000 bytes a second in the 10 seconds after

  Scenario: an engine is given notice
    Two seconds later it is gone, with all generations that have not moved. An
    entry that is not connected to its agent hears of it from others.
    Given a fleet of 68 entries
    When 8 seconds pass after its start
    And 3 entries hear that an engine is leaving
    Then all entries know within 100 ms

  Scenario Outline: an entry is told to stop, and starts again
    Guards against callers that are sent from one leaving entry to the next.
    An entry that went on to count as leaving would put them off for nothing.
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

  Scenario: reports overtake each other
    A report that took a long way comes after a later one. Were it believed,
    an engine that is full would look empty.
    Given a fleet of 8 entries
    When 8 seconds pass after its start
    And an entry hears report 7 and then report 6 of an agent
    Then no entry believes report 6

  Scenario: an agent starts again
    Its reports are numbered from one again. Were they taken for old ones, its
    engine would be served by figures that no longer hold.
    Given a fleet of 8 entries
    When 8 seconds pass after its start
    And an entry hears report 900 of an agent, and report 1 of its next run
    Then all entries believe report 1

  Scenario: an entry stops
    Others go on to count it among those that share the retries, since it may
    only be cut off, but leave nothing to it.
    Given a fleet of 68 entries
    When 8 seconds pass after its start
    And an entry stops and 20 seconds pass
    Then no other entry takes it for a live one
    And each entry counts 68 members

  Scenario Outline: members of which nothing is heard any more
    In a large fleet beats come seldom. Were the time for which a member counts
    the same for all sizes, one that is well would be forgotten between two
    beats, and each entry would take more than its share of the retries.
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
    It hears of the number that it had reached before. If it began below, the
    others would believe nothing of it for as long as it had run.
    Given a table of members that has heard of beat 500 of its own entry
    Then its own beat is above 500

  Scenario: entries that knew only each other
    Two groups of entries, each started while the other could not be reached,
    would count themselves alone for ever.
    Given a fleet of 20 entries in two groups that know nothing of each other
    When an entry of each is told the address of one of the other
    Then each entry counts 20 members within 10 seconds
