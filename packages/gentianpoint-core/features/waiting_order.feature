Feature: The order of requests that wait for permits
  Targets take less than callers ask for.

  Scenario Outline: who goes first
    Guards against turns that go to whoever sends most, or whoever came first.
    When requests of <customers> with priorities <priorities> wait
    Then they go in the order <order>

    Examples:
      | customers   | priorities  | order     |
      | a a a       | 1 1 1       | 1 2 3     |
      | a a b       | 1 1 1       | 1 3 2     |
      | a a a b b   | 1 1 1 1 1   | 1 4 2 5 3 |
      | a b a       | 2 1 0       | 3 2 1     |
      | a a b       | 0 0 1       | 1 2 3     |

  Scenario: callers that were told to come back
    Guards against a time that is told to many callers, of whom one is served.
    When 3 callers of priority 1 are told to come back at 5, 6 and 7 s
    Then at 4 s a caller of priority 1 comes after 3 others
    And at 6.5 s a caller of priority 1 comes after 1 others
    And at 4 s a caller of priority 0 comes after 0 others
    And at 8 s a caller of priority 1 comes after 0 others

  Scenario: callers that are refused while others wait
    Guards against a time to come back at which those that wait are served.
    When requests of a b c with priorities 0 1 2 wait
    Then callers of priorities 0 1 2 would come after 1 2 3
