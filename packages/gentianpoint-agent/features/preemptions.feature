Feature: Admission keeps an engine from preempting
  An engine whose memory is out throws a stream out and computes it again
  later: its reader sees the words stop. Here each of two real engines, whose
  memory is far too small for all that comes, gets the same prompts at once
  through an entry and an agent; the engine itself counts.

  Scenario: predictive admission has fewer preemptions than none
    When 60 prompts come at once to an engine of 60 blocks without admission
    And 60 prompts come at once to an engine of 60 blocks with predictive admission
    Then all are answered whole by both
    And the engine without admission has preempted at least 20 times
    And predictive admission has had at most a third as many preemptions
