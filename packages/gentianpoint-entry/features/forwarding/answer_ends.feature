Feature: An answer that was broken off never looks complete
  An answer may have neither a length nor chunks and end with its connection,
  which ends as well when its target breaks the answer off.

  Scenario: the connection of a stream ends inside an event, at any byte
    Guards against a report that its caller takes for whole, although it is
    cut short and has half an event at its end.
    Given a generation that may run once, without copies
    When a stream without length and chunks is cut at each byte of its events
    Then no caller gets a cut stream as complete, nor a part of an event

  Scenario Outline: a cut stream that may go on goes on within its answer
    Guards against a hole, an event twice, or half an event within an answer
    that another target completes.
    Given a generation that <way>
    When a stream without length and chunks is cut at each byte of its events
    Then every caller gets all events, each once, as a complete answer

    Examples:
      | way                                          |
      | may be resumed                               |
      | may run once, with a copy at a second target |

  Scenario: the last chunk of a stream arrives inside an event
    Guards against trusting the framing of a target that cuts its content.
    Given a generation that may run once, without copies
    When a stream in chunks ends at each byte of its events
    Then no caller gets a cut stream as complete, nor a part of an event

  Scenario Outline: the connection of a stream ends between two events
    Nothing in the content tells whether more should follow. A target that
    crashes closes its connections and then refuses new ones.
    Given a generation that <way>
    When a stream without length and chunks ends after event 2 as its target <then>
    Then the caller has events 1 to <last> <outcome>

    Examples:
      | way                       | then    | last | outcome                          |
      | may run once, without copies | ends | 2    | in an answer that is broken off  |
      | may be resumed            | ends    | 3    | in an answer that is complete    |
      | may run once, with a copy at a second target | ends | 3 | in an answer that is complete |
      | may run once, without copies | goes on | 2 | in an answer that is complete    |
      | may be resumed            | goes on | 2    | in an answer that is complete    |

  Scenario Outline: the connection of a plain answer ends
    Guards against a body that is cut short and passed on as whole, and against
    taking a whole one for broken.
    Given a plain request that may <repeat>
    When an answer of status <first> without length and chunks ends as its target <then>
    Then the caller is given the status <status> with the body of <body>
    And it waits <wait> ms longer for the end than with a length

    Examples:
      | repeat        | first | then    | status | body | wait |
      | run once only | 200   | goes on | 200    | a    | 50   |
      | be repeated   | 200   | goes on | 200    | a    | 50   |
      | run once only | 200   | ends    | 502    | none | 0    |
      | be repeated   | 200   | ends    | 200    | b    | 100  |
      | run once only | 500   | goes on | 500    | a    | 50   |
      | run once only | 500   | ends    | 502    | none | 0    |

  Scenario Outline: an error answer to a stream ends with its connection
    Given a generation that may run once, without copies
    When an answer of status 500 without length and chunks ends as its target <then>
    Then the caller is given the status <status> with the body of <body>

    Examples:
      | then    | status | body |
      | goes on | 500    | a    |
      | ends    | 502    | none |

  Scenario: a target that breaks off is counted as one that did
    Guards against sending on to a target that cuts its answers, since the
    end of a connection without framing is not seen as a failure.
    Given a generation that may run once, without copies
    When a stream without length and chunks is cut at each byte of its events
    Then each cut is noted as a failure of its target, whose connection closed

  Scenario: shares of streams by framing
    Targets break off one answer in five, or none. Streams that may go on
    elsewhere do so however they are framed, and whole ones stay whole.
    When 300 streams are served in chunks and without framing, cut and whole
    Then at least 0.9 of those that are cut go on, by each framing
    And at least 0.99 of those that are not cut are complete, by each framing
    And no answer looks complete that is not

  Scenario Outline: the end of a stream is read late
    Its target is killed meanwhile, and another start listens at the address;
    or the stream ended by itself. Guards against an answer that looks complete
    because any process listens there.
    Given a generation that <way>
    When a stream without length and chunks ends after event 2 while its entry <does>
    And a process listens at its target's address, and <news>
    Then the caller has events 1 to <last> in an answer that is <outcome>

    Examples:
      | way                          | does                  | news                              | last | outcome    |
      | may run once, without copies | stands still for 4 s  | nothing else is known             | 2    | broken off |
      | may run once, without copies | stands still for 4 s  | an older connection to it is open | 2    | complete   |
      | may run once, without copies | stands still for 4 s  | an agent reports the same start   | 2    | complete   |
      | may run once, without copies | stands still for 4 s  | an agent reports a later start    | 2    | broken off |
      | may run once, without copies | stands still for 4 s  | an agent reports that it is silent | 2   | broken off |
      | may run once, without copies | stands still for 4 s  | the list names another start      | 2    | broken off |
      | may be resumed               | stands still for 4 s  | the list names another start      | 3    | complete   |
      | may run once, with a copy at a second target | stands still for 4 s | nothing else is known | 3    | complete   |
      | may run once, without copies | waits 4 s for its caller | nothing else is known          | 2    | broken off |
      | may run once, without copies | waits 4 s for its caller | an older connection to it is open | 2 | complete   |
      | may run once, without copies | is suspended for 4 s  | nothing else is known             | 2    | broken off |
      | may run once, without copies | stands still for 0.1 s | nothing else is known            | 2    | complete   |
      | may run once, without copies | goes on               | nothing else is known             | 2    | complete   |
      | may run once, without copies | goes on               | the list names another start      | 2    | broken off |

  Scenario Outline: the end of a plain answer is read late
    Given a plain request that may <repeat>
    When an answer of status 200 without length and chunks ends while its entry <does>
    And a process listens at its target's address, and <news>
    Then the caller is given the status <status> with the body of <body>

    Examples:
      | repeat        | does                 | news                              | status | body |
      | run once only | stands still for 4 s | nothing else is known             | 502    | none |
      | run once only | stands still for 4 s | an older connection to it is open | 200    | a    |
      | be repeated   | stands still for 4 s | nothing else is known             | 200    | b    |
      | run once only | goes on              | nothing else is known             | 200    | a    |
