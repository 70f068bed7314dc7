Feature: Engines that get notice at the same moment, replayed
  Engines, links and callers are simulated, and every generation goes through
  the code that serves it. One seed gives the same figures every time.

  Scenario: engines that leave together move their generations to one engine
    Four engines get notice at once, and the entries with generations there
    all pick the engine that looks emptiest. Copies wait on its link until the
    notice is over, and those that come last are lost with their engine.
    When "many entries, old reports" is replayed with seeds 1 to 2 by "ours" and by "shared destinations"
    Then ours breaks off fewer answers
    And ours earns at least 0.02 more of the worth
