Feature: Limits that targets name, while few entries get most callers
  The load balancer sends most new connections to a few entries. All entries
  together may send as much as before.

  Scenario Outline: nine in ten callers come to a few entries
    Guards against parts of a limit that stay with entries that have no
    requests, while others refuse theirs.
    Given <count> entries before 3 targets
    And from 2 s on all of them name a limit of <limit>
    And from 12 s on nine in ten callers come to <hot> of the entries
    When <load> requests a second come for 24 seconds
    Then from 16 s on at least three quarters as many are served as before
    And from 3 s after that on no target gets more in any 4 s than it may

    Examples:
      | count | limit | load | hot |
      | 3     | 20    | 40   | 1   |
      | 5     | 20    | 40   | 1   |
      | 12    | 20    | 40   | 2   |
      | 29    | 20    | 40   | 1   |
      | 29    | 20    | 40   | 3   |

  Scenario: others are preferred after the first one was killed
    Guards against an entry that begins to get most callers as the one that had
    them ends.
    Given 5 entries before 3 targets
    And from 2 s on all of them name a limit of 20
    And from 12 s on nine in ten callers come to 1 of the entries
    And at 18 s that one is killed, and another one gets them
    When 40 requests a second come for 32 seconds
    Then from 22 s on at least three quarters as many are served as before
    And from 3 s after that on no target gets more in any 4 s than it may

  Scenario: callers are spread evenly again
    Guards against parts of a limit that stay where they were needed.
    Given 5 entries before 3 targets
    And from 2 s on all of them name a limit of 20
    And from 12 s on nine in ten callers come to 1 of the entries
    And from 20 s on callers come to all entries alike
    When 40 requests a second come for 32 seconds
    Then from 22 s on at least nine tenths as many are served as before
    And from 3 s after that on no target gets more in any 4 s than it may

  Scenario: messages of other processes that make no sense
    Guards against an entry that ends by a number out of range in a datagram.
    Given 5 entries before 3 targets
    And from 2 s on all of them name a limit of 20
    And at 6 s each entry gets datagrams on turns with odd values
    When 40 requests a second come for 12 seconds
    Then from 8 s on at least three quarters of all requests are served
    And from 3 s after that on no target gets more in any 4 s than it may
