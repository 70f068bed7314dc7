Feature: The load generator measures what callers observe
  Policies are compared by its results. So it must send the same load for the
  same seed, whatever the system does, and measure stalls and customers'
  shares from the callers' side.

  Scenario: the same seed gives the same requests
    Given a scenario of 20 requests a second for 10 seconds
    When its arrivals are drawn with the seeds 1, 1 and 2
    Then the first two are the same and the third differs

  Scenario: a burst brings more requests
    Given a scenario of 20 requests a second for 30 seconds
    And a burst of factor 5 from 10 s to 20 s
    When its arrivals are drawn with the seeds 1, 1 and 2
    Then most requests come in the burst

  Scenario Outline: stall time is measured against the stream's own pace
    When the gaps between the tokens of a stream are <gaps>
    Then its stall time is <stall> ms

    Examples:
      | gaps            | stall |
      | 20 20 20 20     | 0     |
      | 20 20 220 20 20 | 200   |
      | 20 30 35 20 20  | 0     |
      | 20              | 0     |

  Scenario: the results show a starved customer
    When 10 requests of large are answered and 10 of small are refused
    Then the least customer's share is 0

  Scenario Outline: the error for an invalid scenario file names the field
    When a scenario file with the content <text> is loaded
    Then the error message contains <reason>

    Examples:
      | text                   | reason   |
      | {name: a, rate: many}  | rate     |
      | {name: a, nonsense: 1} | nonsense |
      | [                      | parsing  |
