Feature: Answers without an end
  A target in trouble may send bytes until its connection is closed, as a head,
  as a body, or as neither.

  Scenario Outline: a request on a pooled connection
    Guards against a process that runs out of memory, and against a request
    that gets no final answer before its deadline.
    Given a target that sends <what> without an end
    When a request is sent to it, and then another one
    Then the first one fails, and the second one is answered
    And the target could send at most <mib> MiB until it was closed

    Examples:
      | what                             | mib |
      | header lines                     | 12  |
      | a header                         | 12  |
      | bytes that are no HTTP           | 12  |
      | interim responses                | 12  |
      | a body with a length             | 20  |
      | a body in chunks                 | 20  |
      | one chunk                        | 20  |
      | a chunk's length                 | 12  |
      | a body without framing           | 20  |
      | the body of another request      | 12  |
      | the slow body of another request | 1   |

  Scenario Outline: a call of the own interface's adapters
    Guards against the same at agents and entries of the own interface, whose
    client has time limits for silence only.
    Given a target that sends <what> without an end
    When an engine's <call> is called there, and its load is read then
    Then the first one fails, and the second one is answered
    And the target could send at most <mib> MiB until it was closed

    Examples:
      | call   | what                   | mib |
      | load   | header lines           | 12  |
      | load   | bytes that are no HTTP | 12  |
      | load   | a body with a length   | 28  |
      | load   | a body in chunks       | 28  |
      | load   | one chunk              | 28  |
      | load   | a body without framing | 28  |
      | stream | header lines           | 12  |
      | stream | a body in chunks       | 12  |
      | stream | one chunk              | 12  |
      | stream | a body without framing | 12  |

  Scenario Outline: the log's answer
    Guards against a reading of the log that never ends.
    Given a target that sends <what> without an end
    When the log is read there, and then once more
    Then the first one fails
    And the target could send at most 28 MiB until it was closed

    Examples:
      | what                   |
      | a body in chunks       |
      | a body without framing |
