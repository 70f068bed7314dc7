Feature: A stream that was stopped for a move never looks complete
  With the last copy of a generation's memory its target stops it and closes
  the stream without its end. Without a length and chunks that looks like the
  end of a complete stream, and the target goes on listening.

  Scenario Outline: the answer to the last copy
    Guards against a report that ends as complete although a third of it is
    missing, and against one that is given up although the copy is only late.
    Given a stream <framing> that may run once, at target a
    And the last copy is answered with "<answer>" after <seconds> s
    And of a and b, those that go on from the copy are: <taken_up_by>
    When the request is served, and a gets notice after event 20
    Then the caller has <events>

    Examples: the copy is late
      | framing                   | answer | seconds | taken_up_by | events                           |
      | without length and chunks | copied | 0       | b           | all events, each once            |
      | without length and chunks | copied | 0.9     | b           | all events, each once            |
      | in chunks                 | copied | 0.9     | b           | all events, each once            |
      | without length and chunks | copied | inf     | a           | all events, each once            |
      | in chunks                 | copied | inf     | a           | all events, each once            |
      | without length and chunks | copied | inf     | none        | a part, in an answer that is cut |
      | in chunks                 | copied | inf     | none        | a part, in an answer that is cut |

    Examples: nobody goes on
      | framing                   | answer  | seconds | taken_up_by | events                           |
      | without length and chunks | copied  | 0       | none        | a part, in an answer that is cut |
      | without length and chunks | copied  | 0       | a           | all events, each once            |
      | without length and chunks | no room | 0       | none        | a part, in an answer that is cut |
      | without length and chunks | no room | 0       | a           | all events, each once            |
      | without length and chunks | failed  | 0       | none        | a part, in an answer that is cut |
      | in chunks                 | failed  | 0       | none        | a part, in an answer that is cut |

    Examples: nothing was stopped
      | framing                   | answer             | seconds | taken_up_by | events                |
      | without length and chunks | unknown generation | 0       | none        | all events, each once |
      | in chunks                 | unknown generation | 0       | none        | all events, each once |

  Scenario: the caller is told in time that its stream can't go on
    Guards against a caller that waits for events until its deadline.
    Given a stream without length and chunks that may run once, at target a
    And the last copy is answered with "copied" after inf s
    And of a and b, those that go on from the copy are: none
    When the request is served, and a gets notice after event 20
    Then the caller waits for at most 2 s after its last event
