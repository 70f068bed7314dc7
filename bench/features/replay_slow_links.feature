Feature: Links on which no copy ends in a notice, replayed
  Engines, links and callers are simulated, and every generation goes through
  the code that serves it. One seed gives the same figures every time.

  Scenario: moves that can't end in time
    Links are ten times slower than usual, and a copy takes longer than the two
    seconds of a notice. A generation that is stopped for its copy is lost,
    while left alone it might have ended: callers lose answers that were nearly
    whole.
    When "busier, slow links" is replayed with seeds 201 to 203 by "ours" and by "no moves"
    Then ours earns at least as much of the worth
