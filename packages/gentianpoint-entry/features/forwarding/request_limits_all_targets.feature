Feature: Limits that all targets of a service name
  Callers ask for more than all targets together take.

  Scenario Outline: all targets name limits
    Guards against callers that wait until their deadline for what can't be
    served, against those that are told to come back too soon, and against
    targets that get nothing any more.
    Given <count> entries before 3 targets
    And from 2 s on all of them name a limit of <limit>
    When <load> requests a second come for 40 seconds
    Then from 3 s after that on no target gets more in any 4 s than it may
    And each target gets at least half of what its limit allows
    And each request that is not served is refused within 150 ms
    And it is told a time to come back of its own

    Examples:
      | count | limit | load |
      | 3     | 2     | 20   |
      | 29    | 2     | 40   |
      | 29    | 0.4   | 40   |

  Scenario: a limit of 0 that ends
    Guards against a target that gets nothing any more, so that nobody learns
    from its answers that it takes requests again.
    Given 29 entries before 3 targets
    And from 2 s on all of them name a limit of 0
    And from 14 s on all of them name no limit
    When 20 requests a second come for 40 seconds
    Then from 3 s after that on no target gets more in any 4 s than it may
    And from 30 s on all requests are served

  Scenario: urgent requests, and customers that send more than others
    Guards against turns that go to whoever comes first.
    Given 3 entries before 3 targets
    And from 2 s on all of them name a limit of 8
    When 60 requests a second of 2 priorities come for 40 seconds
    Then urgent requests are served more often than others

  Scenario: a customer that sends more than others
    Guards against a customer that takes all turns.
    Given 3 entries before 3 targets
    And from 2 s on all of them name a limit of 8
    When 60 requests a second come for 40 seconds, nine in ten of one customer
    Then the others' requests are served more often than that one's
