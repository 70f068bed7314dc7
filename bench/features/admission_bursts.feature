Feature: Predictive admission and prompts that come at once
  The agent's admission and the stand-in engine's scheduler on a virtual clock,
  so that no machine is too busy for the experiment. The engine's memory is far
  too small for all prompts.

  Scenario Outline: predictive admission causes fewer preemptions on any machine
    Guards against admission that lets streams start whose memory does not
    suffice, also when the engine's reports are old.
    When 60 prompts come within <spread> seconds to engines of 60 blocks, whose reports are <age> s old, with seeds 1 to 6
    Then without admission each engine has preempted at least 20 times
    And with predictive admission at most a third as often

    Examples:
      | spread | age |
      | 0      | 0   |
      | 0      | 0.2 |
      | 0      | 1   |
      | 1      | 0.2 |
      | 2      | 0.5 |
