Feature: Two short generations for each long one, replayed
  Engines, links and callers are simulated, and every generation goes through
  the code that serves it. One seed gives the same figures every time.

  Scenario: entries that see the same idle engine by old reports
    Guards against generations that all go to the engine that looked idle a
    moment ago: their first events are late while other engines are idle.
    When "mostly short" is replayed with seeds 1 to 2 by "ours" and by "reports alone"
    Then ours is late half as often at most
    And ours earns at least 0.01 more of the worth
