Feature: Requests to cold targets
  A target that has just started, or that says so later, is cold for some
  seconds and ends if it gets many requests then.

  Scenario Outline: a burst while all targets are cold
    Guards against a burst that ends the targets one after the other as they
    come back, and against requests that are never served since no target is
    warm.
    Given <count> targets that are cold for <cold_ms> ms and bear 5 requests a second
    When 60 requests come within <within_ms> ms
    Then no cold target gets more than 5 requests in any second
    And <served> requests are served
    And each other one is told another time at which a target can take it

    Examples:
      | count | cold_ms | within_ms | served            |
      | 1     | 1000    | 700       | between 5 and 5   |
      | 3     | 1000    | 700       | between 15 and 15 |
      | 1     | 5000    | 3000      | between 16 and 17 |
      | 3     | 150     | 500       | between 60 and 60 |

  Scenario: warm targets beside cold ones
    Given 2 targets that are cold for 3000 ms and bear 5 requests a second
    And 2 warm targets
    When 60 requests come within 500 ms
    Then no cold target gets more than 5 requests in any second
    And between 60 and 60 requests are served

  Scenario Outline: a target that becomes cold
    Guards against targets that are cold again without a new start, or that may
    be cold before the list says so.
    Given 1 warm targets
    When <what>
    And 60 requests come within 500 ms
    Then no target gets more than 5 requests in any second

    Examples:
      | what                                                    |
      | its entry in the list says that it is cold for 2000 ms  |
      | its data centre is taken back after an evacuation       |

  Scenario: requests that run at a leaving target while others are cold
    Guards against moves that count for nothing: a generation that goes on at a
    cold target is a request like others.
    Given 1 targets that are cold for 3000 ms and bear 5 requests a second
    When 20 generations continue there from copies at the same time
    Then no cold target gets more than 5 requests in any second
    And all 20 of them run there in the end

  Scenario: an entry that knows no other yet
    Guards against entries that start together and each take the whole limit.
    Given 1 targets that are cold for 1000 ms and bear 5 requests a second
    And an entry that knows no other entry
    When 60 requests come within 500 ms
    Then no request is sent to a cold target
