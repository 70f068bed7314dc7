Feature: Admission keeps an engine from preempting
  An engine that runs out of memory preempts a stream and recomputes it later,
  and its reader sees the text pause. Here two engine processes, whose memory is
  far too small for all prompts, get the same prompts at once through an entry
  and an agent each: they begin to work once all prompts have come. The engines
  themselves count their preemptions.

  Scenario: predictive admission causes fewer preemptions than none
    When 60 prompts come at once to an engine of 60 blocks without admission
    And 60 prompts come at once to an engine of 60 blocks with predictive admission
    Then both answer all prompts completely
    And the engine without admission has preempted at least 20 times
    And the one with predictive admission has preempted at most a third as often
