Feature: Limits on requests that targets name
  A target in need says in its answers how many requests a second it takes from
  all entries together, for as long as it says so.

  Scenario Outline: two of three targets name limits
    Guards against entries that go on sending as before, each of them or their
    sum, to targets that have named a limit.
    Given <count> entries before 3 targets
    And from 2 s on two of them name limits of <first> and <second>
    When 20 requests a second come for 16 seconds
    Then from 3 s after that on no target gets more in any 4 s than it may
    And all requests are served

    Examples:
      | count | first | second |
      | 3     | 1.9   | 2.2    |
      | 5     | 1.9   | 2.2    |
      | 29    | 1.9   | 2.2    |
      | 29    | 0.4   | 0      |

  Scenario: a header that is no limit
    Guards against an entry that takes a spoilt header for a limit of 0.
    Given 5 entries before 3 targets
    And from 2 s on all of them name the value fast
    When 20 requests a second come for 12 seconds
    Then all requests are served

  Scenario: a target that starts again without a limit
    Guards against a limit that is kept for the next start of a target.
    Given 5 entries before 3 targets
    And from 2 s on all of them name a limit of 1
    And at 8 s the first one starts again without a limit
    When 20 requests a second come for 20 seconds
    Then from 3 s after that on no target gets more in any 4 s than it may
    And from 12 s on all requests are served

  Scenario: targets that fail, beside one with a limit
    Guards against second tries that don't count.
    Given 5 entries before 3 targets
    And from 2 s on the first one names a limit of 2
    And the others answer repeatable requests with failures
    When 40 requests a second come for 20 seconds
    Then from 3 s after that on no target gets more in any 4 s than it may
