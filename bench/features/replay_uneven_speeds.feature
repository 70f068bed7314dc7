Feature: Engines of uneven speeds, replayed
  Engines, links and callers are simulated, and every generation goes through
  the code that serves it. One seed gives the same figures every time.

  Scenario: engines of three speeds, with slow phases
    Guards against generations that are sent to slow engines while others would
    begin them in time.
    When "uneven speeds" is replayed with seeds 1 to 2 by "ours" and by "before"
    Then ours earns at least 0.05 more of the worth
