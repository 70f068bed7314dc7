Feature: Engines leave while they generate, replayed on a virtual clock
  Engines, links and callers are simulated, and every generation goes through
  the code that serves it. One seed gives the same figures every time.

  Scenario: the same replay twice
    A gain that can't be measured twice can't be told from luck.
    When "leaving" is replayed twice with seed 3
    Then all figures are equal

  Scenario: engines leave while they generate
    Every three seconds an engine gets two seconds' notice. Without moves its
    generations break off, and technicians write hours of notes again.
    When "leaving" is replayed with seeds 1 to 3 by "ours" and by "fewest outstanding"
    Then ours breaks off at most a third as many answers
    And ours earns at least 0.2 more of the worth
