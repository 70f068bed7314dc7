Feature: Which requests engines are told to be urgent
  Engines take more urgent requests first.

  Scenario Outline: routes of one service
    Guards against urgent requests that wait behind ones with time to spare.
    Those that would be late by yielding do not yield.
    When routes have priorities <priorities> and objectives <objectives> ms
    Then engines are told the urgencies <urgencies>

    Examples:
      | priorities | objectives      | urgencies |
      | 2 0        | 4000 1500       | none 1    |
      | 1 0        | 1800 1500       | none none |
      | 0 1        | 1800 1500       | none none |
      | 0 0        | 4000 1500       | none none |
      | 2 1 0      | 8000 3000 1000  | none 2 1  |
      | 2 0        | 4000 0          | none none |

  Scenario: a priority between those of the routes
    Guards against a route that is urgent since another one of its service is.
    When routes have priorities 2 0 and objectives 4000 1500 ms
    Then a priority of 0 is told as 1
    And a priority of 1 is told as none
