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
      | 380   | 1.9   | 2.2    |
