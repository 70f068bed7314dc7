Feature: Copies that may never be needed, replayed on a virtual clock
  Engines, links and callers are simulated, and every generation goes through
  the code that serves it. One seed gives the same figures every time.

  Scenario: a copy of everything
    Copies fill the memory and the links of the few engines that are left, and
    generations that must move find neither.
    When "leaving, four centres" is replayed with seeds 1 to 3 by "ours" and by "all backups"
    Then ours earns at least 0.1 more of the worth
    And ours stalls no longer
