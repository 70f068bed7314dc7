Feature: A stream continues at other targets within one answer
  Generations may run at most once unless their route says otherwise, and they
  take longer than the notice that targets get before they leave.

  Scenario Outline: a target breaks off in the middle of a generation
    The target's host dies while a report is being generated. Guards against an
    answer that is lost although a second target has a copy of the memory and
    can continue it without the caller noticing.
    Given a generation that may run once, with a copy at a second target
    And target a answers: <first>
    And target b answers: events 4-6 then end
    When the request is served
    Then the caller has events 1 to 6, each once, as a complete answer
    And target b was asked to continue after event 3 from the copy that it keeps
    And no target but a was asked to start the generation

    Examples:
      | first                        |
      | events 1-3 then break        |
      | events 1-3 then half an event |

  Scenario: the copy is older than the last event that the caller has
    Copies are made some times a second, so the second target generates the
    last events again. Guards against a caller that receives them twice.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-3 then break
    And target b answers: events 2-6 then end
    When the request is served
    Then the caller has events 1 to 6, each once, as a complete answer

  Scenario: the second target skips an event
    Guards against a gap in the report that nobody notices. The answer is
    broken off instead, so that the caller knows.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-3 then break
    And target b answers: events 5-8 then end
    When the request is served
    Then the caller has events 1 to 3, and the answer is broken off

  Scenario: the second target has no copy after all
    The second target had no room for the copy, so the stream cannot continue.
    Guards against starting the generation again, which could bill it twice.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-3 then break
    And target b answers: refuse
    When the request is served
    Then the caller has events 1 to 3, and the answer is broken off
    And no target but a was asked to start the generation

  Scenario Outline: the second target fails to continue the stream
    Guards against the text of an error answer becoming part of the report.
    Given a generation that may run once, with a copy at a second target
    And target a answers: <first>
    And target b answers: failure
    And copies of its memory: no room
    When the request is <way>
    Then the caller has events 1 to <last>, <outcome>

    Examples:
      | first                 | way                                       | last | outcome                         |
      | events 1-3 then break | served                                    | 3    | and the answer is broken off    |
      | events 1-40 then end  | served and a gets notice after event 20   | 40   | each once, as a complete answer |

  Scenario: a target dies before the first event
    It is unknown whether the generation has begun. Guards against a caller
    that is told that its request has not run.
    Given a generation that may run once, without copies
    And target a answers: lost
    And target b answers: events 1-6 then end
    When the request is served
    Then the caller is refused with status 502
    And target b received no request

  Scenario Outline: targets that do not accept the generation
    A full target refuses and says that nothing has run, or cannot be reached.
    The request is sent to the next target, and the caller is told that it has
    not run only if no target accepts it.
    Given a generation that may run once, without copies
    And target a answers: <first>
    And target b answers: <second>
    When the request is served
    Then <outcome>

    Examples:
      | first         | second             | outcome                            |
      | refuse        | events 1-2 then end | the caller has events 1 to 2, each once, as a complete answer |
      | unreachable   | events 1-2 then end | the caller has events 1 to 2, each once, as a complete answer |
      | other target  | events 1-2 then end | the caller has events 1 to 2, each once, as a complete answer |
      | refuse        | refuse             | the caller is refused with status 503 |
      | refuse        | lost               | the caller is refused with status 502 |
      | unproved refusal | events 1-2 then end | the caller is refused with status 502 |
      | unmarked      | events 1-2 then end | the caller is refused with status 502 |

  Scenario: a stream that may be resumed
    The tags of a ticket may be generated again, so another target generates
    those that are missing.
    Given a generation that may be resumed
    And target a answers: events 1-2 then break
    And target b answers: events 3-4 then end
    When the request is served
    Then the caller has events 1 to 4, each once, as a complete answer
    And target b was asked to continue after event 2 without a copy

  Scenario Outline: a stream that is sent whole goes on at another target
    An entry that leaves holds a stream back until its end. Guards against an
    answer that bears the seal of the target that has only ended it.
    Given a generation that may be resumed
    And target a answers: <first>
    And target b answers: <second>
    When the request is served, and the answer is sent whole
    Then the caller has events 1 to 4, each once, as a complete answer
    And the answer has the headers of <target>

    Examples:
      | first                 | second              | target |
      | events 1-2 then break | events 3-4 then end | a      |
      | events 1-0 then break | events 1-4 then end | b      |
      | events 1-4 then end   | refuse              | a      |

  Scenario: a target falls silent and leaves the list
    The target's host is suspended as the platform takes the target off its
    list. The target serves on for two seconds after that, and resumes with the
    generation in memory. Guards against a second target that works on the same
    report.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-3 then silence
    And target b answers: events 4-6 then end
    When the request is served and a leaves the list after event 3
    Then the caller has events 1 to 3, and the answer is broken off
    And target b received no request

  Scenario: a target of a resumable stream falls silent and leaves the list
    Given a generation that may be resumed
    And target a answers: events 1-3 then silence
    And target b answers: events 4-6 then end
    When the request is served and a leaves the list after event 3
    Then the caller has events 1 to 6, each once, as a complete answer

  Scenario: a target falls silent and is still listed
    The target's host is suspended for some seconds and then resumes, with the
    generation in memory. Guards against a report that runs twice because a
    second target continued it meanwhile.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-3 then silence
    And target b answers: events 4-6 then end
    When the request is served
    Then the caller has events 1 to 3, and the answer is broken off
    And target b received no request

  Scenario: a target falls silent and there is no other one
    A preempted generation pauses for seconds on a full engine. Guards against
    losing it by closing its stream: it is waited for as long as its caller
    waits.
    Given a generation that may run once, without copies
    And target a answers: events 1-3 then silence
    When the request is served
    Then the caller has events 1 to 3, and the answer is broken off
    And it took as long as the caller waits

  Scenario: an event comes as its silent target is given up
    Guards against an event that is counted as passed on, and lost as the
    stream goes on elsewhere after it.
    Given a generation that may be resumed
    And target a answers: events 1-3 then end, held before 1
    And target b answers: events 2-3 then end
    When the request is served, and an event that is held comes as another target is chosen
    Then the caller has events 1 to 3, each once, as a complete answer

  Scenario: a target is slow and no retry is left
    Guards against a generation that is given up before its first event,
    although it can't run anywhere else.
    Given a generation that may be resumed
    And target a answers: events 1-3 then end, late before 1
    And target b answers: events 1-3 then end
    And no retry is left
    When the request is served
    Then the caller has events 1 to 3, each once, as a complete answer
    And target b received no request

  Scenario: a target gets notice and its generation moves
    The platform takes an engine away in two seconds. The generation's memory
    is copied while it runs; then it stops, the rest is copied, and it
    continues at another engine. The caller sees a pause of a tenth of a
    second.
    Given a generation that may run once, without copies
    And target a answers: events 1-9 then break
    And target b answers: events 3-9 then end
    And copies of its memory: copied, copied
    When the request is served and a gets notice after event 1
    Then the caller has events 1 to 9, each once, as a complete answer
    And target b was asked to continue from the handle of the move

  Scenario Outline: how a generation moves in the time that is left
    Its turn to move comes late, behind others of its engine. If it were
    stopped first, it would pause for the whole copy, which its caller notices;
    if it were copied ahead without time for that, it would be lost with its
    engine.
    Given a generation that may run once, without copies
    And a copy of its memory takes about 500 ms
    And target a answers: events 1-9 then break
    And target b answers: events 3-9 then end
    And copies of its memory: copied, copied
    When the request is served and a leaves <left> ms after event 1
    Then the caller has events 1 to 9, each once, as a complete answer
    And its memory was copied <way>

    Examples:
      | left | way                            |
      | 1900 | ahead and once more at the end |
      | 750  | ahead and once more at the end |
      | 550  | after the stop only            |

  Scenario: a copy takes longer than the notice
    The turn to move comes late, or the links are slow. Guards against a
    generation that is stopped for a copy that takes longer than its engine
    stays, and is lost, although its caller would have got the end of it
    otherwise.
    Given a generation that may run once, without copies
    And a copy of its memory takes about 500 ms
    And target a answers: events 1-9 then end
    And target b answers: refuse
    When the request is served and a leaves 400 ms after event 1
    Then the caller has events 1 to 9, each once, as a complete answer
    And its memory was copied not at all

  Scenario Outline: a generation that cannot be moved
    The engine that leaves accepts no new connection, or no other engine has
    room. The generation runs on as long as its engine does. Guards against an
    entry that closes the stream because the move failed, and loses what still
    runs.
    Given a generation that may run once, without copies
    And target a answers: events 1-9 then end
    And target b answers: refuse
    And copies of its memory: <moves>
    When the request is served and a gets notice after event 1
    Then the caller has events 1 to 9, each once, as a complete answer
    And target b received no request

    Examples:
      | moves                                                     |
      | copied, unreachable                                       |
      | no room                                                   |

  Scenario: the destination has no room for the rest of a generation
    The destination is full by the time the generation has stopped. Its own
    engine still has all of it, and continues until it leaves.
    Given a generation that may run once, without copies
    And target a answers: events 1-5 then break
    And target a answers then: events 3-9 then end
    And target b answers: refuse
    And copies of its memory: copied, no room
    When the request is served and a gets notice after event 1
    Then the caller has events 1 to 9, each once, as a complete answer

  Scenario: the backup refuses a generation whose target leaves
    The backup had no room for the copy, which only shows when it is asked to
    continue. Guards against a loss, since the engine that leaves still runs
    the generation.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-40 then end
    And target b answers: refuse
    And copies of its memory: no room
    When the request is served and a gets notice after event 20
    Then the caller has events 1 to 40, each once, as a complete answer

  Scenario: two engines work on one generation for a limited time
    Once a backup has taken a generation over, the engine that leaves may still
    work on it, but only until the entry has the backup's answer.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-90 then end
    And target b answers: events 20-90 then end
    When the request is served and a gets notice after event 20
    Then the stream of a was closed within 20 ms of b's answer
    And the caller has events 1 to 90, each once, as a complete answer

  Scenario: the log line that ends a stream tells where it paused
    A caller complains of a pause in the middle of a report that arrived whole.
    The moment of the pause must be found from the request's identifier, among
    thousands of lines.
    Given a generation that may run once, without copies
    And target a answers: events 1-9 then end, late before 5
    When the request is served
    Then the log line that ends the request tells of a pause of 700 ms before event 5

  Scenario: the log line that sends a stream tells its size
    Without it, the cost of lost answers is unknown: one of 2,000 tokens counts
    like one of four.
    Given a generation that may run once, without copies
    And target a answers: events 1-3 then end
    When the request is served
    Then the log line that sends the request tells of 100 prompt and 100 output tokens

  Scenario Outline: a log line tells who broke an answer off
    A host is stopped while it serves a report that takes longer than the time
    for the shutdown. Guards against a line that says that the caller left,
    which misleads the engineer on call.
    Given a generation that may run once, without copies
    And target a answers: events 1-90 then end
    When the request is served until <who> after 1000 ms
    Then the log line that ends the request has the outcome <outcome>

    Examples:
      | who               | outcome       |
      | the entry ends    | entry_stopped |
      | the caller leaves | caller_left   |

  Scenario: a target's error answer has no end
    Guards against an entry that holds it in memory until the caller's deadline.
    Given a generation that may run once, without copies
    And target a answers: endless failure
    When the request is served
    Then the caller is refused with status 502
    And it took less than half a second
