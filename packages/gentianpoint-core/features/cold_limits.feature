Feature: Requests to cold targets, over all entries
  A cold target bears a few requests a second from all entries together, and
  ends under many more. Entries don't ask each other before each request.

  Scenario Outline: a target joins that all entries take for empty
    Guards against entries that each send as many as all together may, or as
    many as a share that is rounded up allows.
    Given <count> entries, of which all know each other
    And a target that bears <limit> requests a second while it is cold
    When all of them have as much to send as they may for 6 seconds
    Then it gets at most <limit> requests in any second
    And it gets at least <least> requests in each second

    Examples:
      | count | limit | least |
      | 1     | 25    | 25    |
      | 3     | 25    | 25    |
      | 29    | 25    | 25    |
      | 29    | 100   | 100   |
      | 380   | 25    | 25    |
      | 380   | 1     | 1     |
      | 29    | 0.4   | 1     |

  Scenario Outline: entries that do not know all others
    Guards against a limit that holds only while all entries agree on who
    there is. What a target gets beyond the limit stays within what it is said
    to bear at most, one and a half times as much and five more.
    Given <count> entries, of which <who>
    And a target that bears 25 requests a second while it is cold
    When all of them have as much to send as they may for 6 seconds
    Then it gets at most 42 requests in any second

    Examples:
      | count | who                                            |
      | 29    | 3 start at 2 s and are known to others at 3 s  |
      | 380   | 10 start at 2 s and are known to others at 3 s |
      | 29    | 2 are not known to the others any more         |
      | 380   | 10 are not known to the others any more        |
      | 29    | 3 know nobody                                  |
      | 380   | 100 know nobody                                |

  Scenario: all targets are cold at once
    Guards against entries without any target: of 27 that come back together,
    each entry has a share of some.
    Given 29 entries, of which all know each other
    And 27 targets that bear 25 requests a second while they are cold
    Then each entry may send to at least 15 of them
    And over all entries, each of them bears 25 requests a second
