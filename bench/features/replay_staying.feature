Feature: Loads without notices, replayed on a virtual clock
  Engines, links and callers are simulated, and every generation goes through
  the code that serves it. One seed gives the same figures every time.

  Scenario: nothing leaves
    Moves and copies must cost nothing where no engine leaves.
    When "staying" is replayed with seeds 1 to 2 by "ours" and by "fewest outstanding"
    Then ours breaks off nothing
    And ours earns at least as much of the worth

  Scenario: half of the engines die without notice
    Nothing can be moved then; only a copy that is there already goes on.
    When "half gone" is replayed with seeds 1 to 3 by "ours" and by "moves alone"
    Then ours breaks off fewer answers
