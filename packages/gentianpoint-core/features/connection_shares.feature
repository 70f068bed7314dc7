Feature: Idle connections to targets
  A target accepts a limited number of connections from all entries together.

  Scenario Outline: many entries keep connections to one target
    Guards against a target that resets requests, since idle connections of all
    entries have used up what it accepts.
    Given <count> entries that share the connections to a target
    When it accepts <limit> connections and runs <slots> requests at once
    Then all of them keep at most <most> idle connections together
    And between <low> and <high> are kept by each of them

    Examples:
      | count | limit | slots | most | low | high |
      | 3     | 110   | 6     | 98   | 32  | 33   |
      | 29    | 110   | 6     | 98   | 3   | 4    |
      | 380   | 110   | 6     | 98   | 0   | 1    |
      | 380   | 572   | 96    | 380  | 1   | 1    |
      | 5     | 8     | 6     | 0    | 0   | 0    |

  Scenario: a pool that may keep one connection
    Guards against connections that are kept although too many are open.
    When 3 requests use a pool at once that may keep 1 connection, and 3 more follow
    Then 3 connections were opened and 1 of them is used again
