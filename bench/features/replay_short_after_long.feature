Feature: Short generations after a burst of long ones, replayed
  Engines, links and callers are simulated, and every generation goes through
  the code that serves it. One seed gives the same figures every time.

  Scenario: a burst of short generations while long ones wait
    Guards against short generations that wait behind the prompts of long
    ones, which have seconds to spare.
    When "short after long" is replayed by kind with seeds 1 to 2 by "ours"
    Then "short" is on time for at least 0.9
