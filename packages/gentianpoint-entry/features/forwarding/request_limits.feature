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

  Scenario Outline: an entry that could not hear of a limit
    Guards against an entry that sends as if there were no limit, since it was
    not there, or heard of nothing, as the others met the limit.
    Given 5 entries before 3 targets
    And from 2 s on all of them name a limit of 2
    And one of the entries <what>
    When 20 requests a second come for 24 seconds
    Then from 3 s after that on no target gets more in any 4 s than it may

    Examples:
      | what                                                 |
      | starts at 8 s, and gets all requests from 9 s on     |
      | starts at 8 s, and gets all requests from 11 s on    |
      | hears from no other from 1 s to 10 s                 |
      | stands still from 1 s to 10 s, and then gets all requests |
      | hears from no other from 1 s on, and gets all requests |

  Scenario Outline: a limit that changes
    Guards against entries that keep to what a target said earlier.
    Given <count> entries before 3 targets
    And from 2 s on all of them name a limit of <first>
    And from 14 s on all of them name <then>
    When <load> requests a second come for 30 seconds
    Then from 3 s after that on no target gets more in any 4 s than it may
    And from 3 s after that on <outcome>

    Examples:
      | count | first | then           | load | outcome                                  |
      | 5     | 8     | a limit of 1   | 20   | some requests are refused                |
      | 5     | 1     | a limit of 20  | 20   | all requests are served                  |
      | 29    | 1     | a limit of 20  | 20   | all requests are served                  |
      | 5     | 1     | no limit       | 20   | all requests are served                  |
      | 5     | 2     | the value fast | 20   | some requests are refused                |
      | 5     | 2     | the value 5, 2 | 20   | some requests are refused                |
      | 5     | 2     | the value inf  | 20   | some requests are refused                |

  Scenario: a limit of 0 that ends
    Guards against a target that gets nothing any more, so that nobody learns
    from its answers that it takes requests again.
    Given 29 entries before 3 targets
    And from 2 s on all of them name a limit of 0
    And from 14 s on all of them name no limit
    When 20 requests a second come for 40 seconds
    Then from 3 s after that on no target gets more in any 4 s than it may
    And from 30 s on all requests are served

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
