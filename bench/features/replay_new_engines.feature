Feature: New engines among leaving ones, replayed on a virtual clock
  Engines, links and callers are simulated, and every generation goes through
  the code that serves it. One seed gives the same figures every time.

  Scenario: new engines that are known late
    A new engine is empty as the next one gets notice. Known a second later,
    it is no help to those that have to move.
    When "leaving" and "leaving, listed late" are replayed with seeds 1 to 10
    Then the first earns at least 0.01 more of the worth
    And the first breaks off fewer answers, or as many
