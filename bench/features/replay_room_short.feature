Feature: Engines whose memory is short, replayed
  Engines, links and callers are simulated, and every generation goes through
  the code that serves it. One seed gives the same figures every time.

  Scenario: the peak of a wave
    Guards against generations that are sent where they have no room to their
    end: engines preempt them, and prefill them again.
    When "room short" is replayed with seeds 1 to 2 by "ours" and by "before"
    Then ours preempts at most a third as often
    And ours has at least 0.95 of the goodput
