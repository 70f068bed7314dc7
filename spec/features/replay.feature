Feature: Recorded events follow the specification
  The specification is worth only as much as the code follows it. Failure tests
  record the numbered events of their processes, and every step in them has to
  be one that the specification allows.

  Scenario Outline: the recording <recording> is allowed
    When the recording <recording> is replayed
    Then it is allowed with <steps> steps and <ran> generations that ran

    Examples:
      | recording | steps | ran |
      | plain     | 5     | 1   |
      | prepared  | 8     | 1   |
      | refused   | 12    | 1   |
      | full      | 6     | 0   |
      | resumed   | 8     | 1   |
      | retried   | 10    | 2   |
      | again     | 7     | 1   |
      | adopted   | 10    | 1   |
      | closed    | 4     | 0   |
      | lost      | 5     | 1   |
      | abandoned | 5     | 1   |
      | once      | 4     | 0   |

  Scenario Outline: a forged recording is refused: <recording>, <change>
    The events tell of a fault that a caller would notice, such as a second
    start, a false not run, or items of two generations.

    When the recording <recording> is forged by <change> and replayed
    Then it is refused since <reason>

    Examples:
      | recording | change                             | reason                               |
      | plain     | repeat generation_started          | ask is not allowed when asked        |
      | plain     | append generation_started          | ask is not allowed when ended        |
      | plain     | drop call_admitted                 | was not admitted                     |
      | plain     | drop generation_started            | end is not allowed when queued       |
      | plain     | append call_finished               | ok is not allowed when finished      |
      | plain     | drop call_offered                  | ok is not allowed when new           |
      | plain     | append call_offered                | offer is not allowed when finished   |
      | plain     | set call_finished items 2          | got 2 items of 3                     |
      | plain     | set call_finished outcome not_run  | not_run after 3 items                |
      | plain     | set generation_ended number 1      | the catalogue has no such event      |
      | plain     | set agent_started incarnation bb   | was not issued by bb                 |
      | plain     | drop generation_ended              | was told the end, but                |
      | plain     | set generation_ended generation x  | not of four parts                    |
      | prepared  | append call_prepared               | was given out before                 |
      | prepared  | set call_admitted attached 1       | nothing to attach to                 |
      | prepared  | set call_admitted attached 0       | admit is not allowed when queued     |
      | refused   | append generation_started          | ask is not allowed when ended        |
      | refused   | set generation_started generation target-1~aa~1~5ec1 | ask is not allowed when refused |
      | refused   | repeat call_refused                | refuse is not allowed when refused   |
      | refused   | drop call_retried                  | offer is not allowed when offered    |
      | full      | drop call_refused                  | was told not run, but                |
      | full      | set call_refused items 1           | gave items                           |
      | retried   | set call_offered repeatable 0      | may run once and was not refused     |
      | lost      | set outcome_unknown items 1        | outcome_unknown after 1 items        |
      | abandoned | append generation_abandoned        | is cancelled and has no reader       |
      | adopted   | repeat generation_adopted          | was adopted before                   |
      | adopted   | drop generation_adopted            | was not issued by bb                 |
      | adopted   | set agent_started incarnation aa   | was issued by its adopter            |
      | adopted   | set call_admitted attached 0       | admit when adopted                   |
      | adopted   | drop generation_started            | gave 3 items, but                    |
      | adopted   | set generation_ended items 2       | got 3 items of 2                     |
      | closed    | append call_closed                 | finish is not allowed when finished  |
      | once      | drop call_refused                  | may run once and was not refused     |

  Scenario Outline: a recording with <fault> is refused
    When a recording with <fault> is replayed
    Then it is refused since <reason>

    Examples:
      | fault                        | reason                            |
      | two runs of a billed report  | ran more than once                |
      | a splice of two generations  | goes from                         |
      | an offer after the first item | offer is not allowed when reading |
      | a start by another incarnation | was not issued by bb              |
      | a false not run              | was told not run, but             |
      | a false refusal of a phrase  | was told not run, but             |
      | an offer to two agents at once | offer is not allowed when offered |

  Scenario: log lines of a process become events
    When log lines with other text between them are read
    Then only the numbered events are kept, with the name of their process
