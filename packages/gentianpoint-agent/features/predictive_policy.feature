Feature: Admission by forecast memory and pace
  The engine preempts when it runs out of memory, and slows down with each
  stream. Admission has only delayed reports and the streams themselves. If it
  took a report as current, a burst would be admitted into memory that was free
  a moment ago, and all its streams would stall.

  Scenario Outline: the objective decides how many calls run
    Given a predictive policy for <objective> with 200 blocks
    And answers known to have between 100 and 1000 tokens
    When as many calls as it admits have started
    Then between <low> and <high> run

    Examples:
      | objective          | low | high |
      | fewest_preemptions | 7   | 9    |
      | steady_pace        | 9   | 11   |

  Scenario: fewest_preemptions admits fewer calls than steady_pace
    Given both objectives with 200 blocks and the same answers
    When as many calls as each admits have started
    Then fewest_preemptions runs fewer than steady_pace

  Scenario: steady_pace runs fewer calls if streams slow each other down
    Given both objectives with 100000 blocks and the same answers
    When each stream adds a tenth to the time between tokens
    Then steady_pace runs fewer than fewest_preemptions

  Scenario: few calls start before the first report
    Given a predictive policy for steady_pace with 0 blocks
    When as many calls as it admits have started
    Then between 1 and 4 run

  Scenario: a delayed report is corrected by the calls started since
    Given a predictive policy for steady_pace with 100 blocks
    And answers known to have between 300 and 330 tokens
    When as many calls as it admits have started
    And a report 500 ms old says that 0 blocks are used
    Then no call is admitted

  Scenario Outline: blocks of other streams are told from those started since
    Given a predictive policy for steady_pace with 100 blocks
    And answers known to have between 10 and 12 tokens
    And prompts of 400 tokens
    When 1 of these calls has started 200 ms ago
    And a report 500 ms old says that <used> blocks are used
    Then <verdict> call is admitted

    Examples:
      | used | verdict |
      | 0    | a       |
      | 40   | a       |
      | 60   | no      |

  Scenario Outline: the engine's reports and preemptions stop admission
    Given a predictive policy for steady_pace with 1000 blocks
    And answers known to have between 10 and 12 tokens
    When 3 calls have started and generated a token
    And <event>
    Then <verdict> call is admitted

    Examples:
      | event                                           | verdict |
      | a report 0 ms old says that 10 blocks are used  | a       |
      | a report 0 ms old says that 990 blocks are used | no      |
      | a stream is preempted                           | no      |
      | a stream is preempted and resumes               | a       |

  Scenario: blocks of streams that this agent didn't start count
    Given a predictive policy for steady_pace with 100 blocks
    And answers known to have between 300 and 330 tokens
    When a report 0 ms old says that 90 blocks are used
    And 1 calls have started and generated a token
    Then no call is admitted

  Scenario: prompts that share memory are learned from the reports
    Given a predictive policy for steady_pace with 200 blocks
    And answers known to have between 10 and 12 tokens
    And prompts of 800 tokens
    When as many calls as it admits have started
    And reports say that they use 60 blocks
    Then a call is admitted

  Scenario Outline: the pace limit follows the time between tokens
    Given a pace limit that has grown to 40 streams
    When the slower tokens take <slow> ms where the empty engine takes 10
    Then the limit has <changed>

    Examples:
      | slow | changed |
      | 15   | risen   |
      | 35   | fallen  |

  Scenario: an engine that has become slower is not throttled for ever
    Given a pace limit that has grown to 40 streams
    When the slower tokens take 100 ms for 400 windows
    Then the limit rises again

  Scenario Outline: a shortage of memory counts once, however many it preempts
    An engine that runs out of memory preempts several streams one after
    another, all because of one forecast that was too low. If each of them
    counted, the agent would keep so much memory free that callers wait for
    minutes although the engine is half empty.
    Given a predictive policy for fewest_preemptions with 200 blocks
    And answers known to have between 100 and 1000 tokens
    When as many calls as it admits have started
    And <preempted> of them are preempted, resume and end with the others
    And as many calls as it admits have started
    Then between 6 and 8 run

    Examples:
      | preempted |
      | 1         |
      | 6         |

  Scenario: successive shortages of memory add up
    Given a predictive policy for fewest_preemptions with 200 blocks
    And answers known to have between 100 and 1000 tokens
    When as many calls as it admits have started
    And they run out of memory 6 times, 5 s apart, and end
    And as many calls as it admits have started
    Then between 3 and 5 run
