Feature: Pace of an engine, from its statuses
  Entries predict times by the pace that the agent measures.

  Scenario Outline: the pace of an engine that also prefills
    Guards against prompts in prefill that make an engine look slow, since
    they lengthen its steps, and against an engine whose slowness is not seen.
    Given an engine that takes <speed> times as long, with prompts in prefill for <share> of the time
    When it works for <time> s
    Then its step time is known within 0.2
    And its prefill time is known within 0.2

    Examples:
      | speed | share | time |
      | 0.7   | 0.5   | 2    |
      | 1.0   | 0.5   | 2    |
      | 1.7   | 0.5   | 2    |
      | 1.7   | 0.8   | 6    |
      | 4.0   | 0.5   | 8    |
      | 10.0  | 0.5   | 16   |

  Scenario Outline: an engine that prefills all the time
    Guards against the long steps of such an engine that are taken for those of
    a slow one. Without any other steps its step time is not known.
    Given an engine that takes <speed> times as long, with prompts in prefill for 1.0 of the time
    When it works for 4 s
    Then its prefill time is known within 0.2
    And its step time is unknown

    Examples:
      | speed |
      | 0.7   |
      | 1.7   |

  Scenario Outline: a phase of slowness
    Guards against a pace that hides a phase until it is over, and one that
    keeps entries away long after it.
    Given an engine that takes <speed> times as long, with prompts in prefill for <share> of the time
    When it works for 10 s
    And it takes 2.5 times as long for 0.6 s
    Then within a second its step time is at least 1.3 times that of before
    When it works for 2 s
    Then its step time is known within 0.2

    Examples:
      | speed | share |
      | 0.7   | 0.5   |
      | 1.0   | 0.0   |
      | 1.7   | 0.5   |
      | 1.0   | 0.8   |

  Scenario: an engine that gets no work after a phase of slowness
    Guards against an engine that counts as slow for ever, since it gets no
    work that would show its pace.
    Given an engine that takes 1.0 times as long, with prompts in prefill for 0.5 of the time
    When it works for 20 s
    And it takes 2.5 times as long for 0.6 s
    And it is idle for 4 s
    Then its step time is known within 0.2

  Scenario: an engine restarts
    Guards against a new engine that is taken to be as slow as the one before.
    Given an engine that takes 1.7 times as long, with prompts in prefill for 0.5 of the time
    When it works for 4 s
    And it restarts
    Then its pace is unknown

  Scenario: statuses stop for a while
    Guards against the time without statuses that is taken for a slow step.
    Given an engine that takes 1.0 times as long, with prompts in prefill for 0.5 of the time
    When it works for 4 s
    And no status comes for 3 s
    And it works for 0.6 s
    Then its step time is known within 0.2
    And its prefill time is known within 0.2

  Scenario Outline: statuses that can't be true
    Guards against a pace of zero, below zero or beyond any engine, by which an
    entry would send all or nothing there.
    When statuses tell of a generation with <tokens> tokens, 100 ms apart
    Then the step time is <words>

    Examples:
      | tokens                           | words   |
      | 3000 3000 3000 3000              | unknown |
      | 3000 2000 1000 0                 | unknown |
      | 0 10000000 20000000 30000000     | unknown |
      | 0 4611686018427387904 0 3        | unknown |
      | 3000 3010 3020 3010 3020         | 10000   |
      | 3000                             | unknown |
      | 3000 3010                        | unknown |

  Scenario: an engine that stands still
    Guards against a step time without bound, or of zero.
    When statuses tell of 3000 tokens for 20 s
    Then the step time is between 400000 and 60000000

  Scenario: statuses that come more often
    Guards against samples of a few steps, which a whole number misses by much.
    Given an engine that takes 1.0 times as long, with prompts in prefill for 0.5 of the time
    When it works for 4 s, and its status is read each 15 ms too
    Then its step time is known within 0.2
