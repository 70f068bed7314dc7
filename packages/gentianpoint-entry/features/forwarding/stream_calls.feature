Feature: A stream goes on at other targets within one answer
  Generations may run at most once unless their route says otherwise, and
  they last longer than the notice that targets get before they leave.

  Scenario Outline: a target breaks off in the middle of a generation
    The target's host dies while a report is being written. A second target
    has a copy of the memory, and the caller reads on as if nothing had been;
    without it a technician would write hours of notes again.
    Given a generation that may run once, with a copy at a second target
    And target a answers: <first>
    And target b answers: events 4-6 then end
    When the request is served
    Then the caller has events 1 to 6, each once, as a complete answer
    And target b was asked to go on after event 3 from the copy that it keeps
    And no target but a was asked to start the generation

    Examples:
      | first                        |
      | events 1-3 then break        |
      | events 1-3 then half an event |

  Scenario: the copy goes back a little further than what the caller has
    Copies are made some times a second, so the second target makes the last
    events anew. A caller that got them twice would bill its client twice.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-3 then break
    And target b answers: events 2-6 then end
    When the request is served
    Then the caller has events 1 to 6, each once, as a complete answer

  Scenario: events are missing where the second target goes on
    The second target skips an event. Passed on, the report would have a hole
    that nobody sees; the caller is told of the break instead.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-3 then break
    And target b answers: events 5-8 then end
    When the request is served
    Then the caller has events 1 to 3, and the answer is broken off

  Scenario: the second target has no copy after all
    The second target had no room for the copy. Nobody can go on, and to
    start again could bill the report twice.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-3 then break
    And target b answers: refuse
    When the request is served
    Then the caller has events 1 to 3, and the answer is broken off
    And no target but a was asked to start the generation

  Scenario Outline: the second target fails where it should go on
    The second target answers with a failure instead of events. Its text must
    not become a part of the report.
    Given a generation that may run once, with a copy at a second target
    And target a answers: <first>
    And target b answers: failure
    And moves of memory: no room
    When the request is <way>
    Then the caller has events 1 to <last>, <outcome>

    Examples:
      | first                 | way                                       | last | outcome                         |
      | events 1-3 then break | served                                    | 3    | and the answer is broken off    |
      | events 1-40 then end  | served and a gets notice after event 20   | 40   | each once, as a complete answer |

  Scenario: a target dies before the first event
    Whether the generation has begun can't be told, so the caller may not be
    told that it has not run.
    Given a generation that may run once, without copies
    And target a answers: lost
    And target b answers: events 1-6 then end
    When the request is served
    Then the caller is refused with status 502
    And target b was asked nothing

  Scenario Outline: targets that do not take the generation
    A crowded target refuses and says that nothing has run, or can't be
    reached. The next one gets the request, and only when none takes it is
    the caller sent away with a promise that it has not run.
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
    A ticket's tags may be made again, so another target makes the rest.
    Given a generation that may be resumed
    And target a answers: events 1-2 then break
    And target b answers: events 3-4 then end
    When the request is served
    Then the caller has events 1 to 4, each once, as a complete answer
    And target b was asked to go on after event 2 without a copy

  Scenario: a target falls silent and leaves the list
    The target's host stands still as the platform takes the target off its
    list; the target serves on for two seconds after that, and wakes with the
    generation in it. Had the second target gone on, both would have worked
    on one report.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-3 then silence
    And target b answers: events 4-6 then end
    When the request is served and a leaves the list after event 3
    Then the caller has events 1 to 3, and the answer is broken off
    And target b was asked nothing

  Scenario: a target of a stream that may be resumed falls silent and leaves
    Given a generation that may be resumed
    And target a answers: events 1-3 then silence
    And target b answers: events 4-6 then end
    When the request is served and a leaves the list after event 3
    Then the caller has events 1 to 6, each once, as a complete answer

  Scenario: a target falls silent and is still listed
    The target's host stands still for some seconds and then wakes, with the
    generation in it. Had the second target gone on meanwhile, the report
    would have run twice.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-3 then silence
    And target b answers: events 4-6 then end
    When the request is served
    Then the caller has events 1 to 3, and the answer is broken off
    And target b was asked nothing

  Scenario: a silent target and nothing that can go on
    A preempted generation stands still for seconds on a crowded engine. It
    is waited for as long as its caller waits, since to end it would lose it.
    Given a generation that may run once, without copies
    And target a answers: events 1-3 then silence
    When the request is served
    Then the caller has events 1 to 3, and the answer is broken off
    And it took as long as the caller waits

  Scenario: a target gets notice
    The platform takes an engine away in two seconds. Its generation's memory
    is copied while it runs, then it stops, the rest is copied, and it goes on
    at another engine; the caller sees a pause of a tenth of a second.
    Given a generation that may run once, without copies
    And target a answers: events 1-9 then break
    And target b answers: events 3-9 then end
    And moves of memory: copied, copied
    When the request is served and a gets notice after event 1
    Then the caller has events 1 to 9, each once, as a complete answer
    And target b was asked to go on from the handle of the move

  Scenario Outline: how a generation moves in the time that is left
    Its turn to move comes late, behind others of its engine. Stopped first, it
    stands still for all of its copy, which its caller hears; copied ahead
    where there is no time for that, it is lost with its engine.
    Given a generation that may run once, without copies
    And a copy of its memory takes about 500 ms
    And target a answers: events 1-9 then break
    And target b answers: events 3-9 then end
    And moves of memory: copied, copied
    When the request is served and a leaves <left> ms after event 1
    Then the caller has events 1 to 9, each once, as a complete answer
    And its memory was copied <way>

    Examples:
      | left | way                            |
      | 1900 | ahead and once more at the end |
      | 750  | ahead and once more at the end |
      | 550  | after the stop only            |

  Scenario: a generation whose copy can't end in its target's notice
    Its turn to move comes late, or its links are slow. Stopped for a copy that
    takes longer than its engine is there, it is lost, where its caller would
    have got the end of it if it had been left alone.
    Given a generation that may run once, without copies
    And a copy of its memory takes about 500 ms
    And target a answers: events 1-9 then end
    And target b answers: refuse
    When the request is served and a leaves 400 ms after event 1
    Then the caller has events 1 to 9, each once, as a complete answer
    And its memory was copied not at all

  Scenario Outline: a generation that can't be moved away
    The engine that leaves takes no new connection, or no other has room. The
    generation runs on as long as its engine does; an entry that closed its
    stream because it could not be moved would lose what still runs.
    Given a generation that may run once, without copies
    And target a answers: events 1-9 then end
    And target b answers: refuse
    And moves of memory: <moves>
    When the request is served and a gets notice after event 1
    Then the caller has events 1 to 9, each once, as a complete answer
    And target b was asked nothing

    Examples:
      | moves                                                     |
      | copied, unreachable                                       |
      | no room                                                   |

  Scenario: the rest of a generation found no room
    The other engine is full by the time the generation has stopped. Its own
    engine still has all of it, and goes on until it leaves.
    Given a generation that may run once, without copies
    And target a answers: events 1-5 then break
    And target a answers then: events 3-9 then end
    And target b answers: refuse
    And moves of memory: copied, no room
    When the request is served and a gets notice after event 1
    Then the caller has events 1 to 9, each once, as a complete answer

  Scenario: the backup refuses a generation whose target leaves
    The backup had no room for the copy, which shows only when it is asked.
    The engine that leaves still runs the generation, so nothing is lost yet.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-40 then end
    And target b answers: refuse
    And moves of memory: no room
    When the request is served and a gets notice after event 20
    Then the caller has events 1 to 40, each once, as a complete answer

  Scenario: two engines never work on one generation for long
    While a backup takes a generation up, the engine that leaves may still
    work on it. After a quarter of a second it does so no more.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-90 then end
    And target b answers: mute
    When the request is served and a gets notice after event 20
    Then target a was left a quarter of a second after target b was asked

  Scenario: the line that ends a stream tells where it stood still
    A report arrives whole, but its technician complains of a pause in the
    middle. The engineer on call has the request's identifier and must find
    the moment at which it stood still among thousands of lines.
    Given a generation that may run once, without copies
    And target a answers: events 1-9 then end, late before 5
    When the request is served
    Then the line that ends the request tells of a pause of 700 ms before event 5

  Scenario: the line that sends a stream tells its size
    Many callers complain, and what the losses cost can't be told: a lost
    answer of 2,000 tokens counts like one of four.
    Given a generation that may run once, without copies
    And target a answers: events 1-3 then end
    When the request is served
    Then the line that sends the request tells of 100 prompt and 100 output tokens

  Scenario Outline: a line tells who broke an answer off
    A host is stopped while it serves a report that outlasts its grace, and the
    technician complains. A line that says that the caller left would send the
    engineer on call the wrong way.
    Given a generation that may run once, without copies
    And target a answers: events 1-90 then end
    When the request is served until <who> after 1000 ms
    Then the line that ends the request has the outcome <outcome>

    Examples:
      | who               | outcome       |
      | the entry ends    | entry_stopped |
      | the caller leaves | caller_left   |
