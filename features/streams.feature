Feature: Every token once, in order, from one generation
  Connections are cut or fall silent, processes die, freeze or are restarted
  while long answers are on their way. A caller sees at most a pause; where
  the answer can't go on, an explicit error tells so. No caller ever sees a
  token twice, a hole, or the words of another generation.

  Scenario Outline: a fault between entry and agent costs a pause only
  Something between the two hosts resets their connection, or loses track of
  it so that it stays open and passes nothing. The caller's stream stands
  still until a new connection is made, then goes on where it stopped.

    Given a relayed deployment of 1 entry and 1 target
    When a caller reads a stream of 60 tokens
    And after 10 tokens the relay before the agent gets the fault <fault>
    Then the stream is whole with 60 tokens
    And the engines started it once

    Examples:
      | fault                                               |
      | {"cut": true}                                       |
      | {"silence": "existing"}                             |
      | {"silence": "existing", "direction": "backward"}    |
      | {"silence": "existing", "direction": "forward"}     |

  Scenario Outline: a fault between agent and engine costs a pause only
  The agent's connection to its engine breaks or falls silent in the middle of
  an answer, while the engine goes on. The agent asks for the stream again by
  its identifier, after the last token it has.

    Given a relayed deployment of 1 entry and 1 target
    When a caller reads a stream of 60 tokens
    And after 10 tokens the relay before the target gets the fault <fault>
    Then the stream is whole with 60 tokens
    And the engines started it once

    Examples:
      | fault                                            |
      | {"cut": true}                                    |
      | {"silence": "existing"}                          |
      | {"silence": "existing", "direction": "backward"} |

  Scenario: the entry dies and the caller resumes at another
  An entry host is lost with all its connections. The caller's tool sees the
  stream break, and asks another entry for the rest by the identifier.

    Given a deployment of 2 entries and 1 target
    When a caller reads a stream of 60 tokens
    And after 10 tokens the first entry is killed
    And the caller resumes at the last entry
    Then both parts together are whole with 60 tokens
    And the engines started it once

  Scenario Outline: the generation dies in the middle
  The agent's or the engine's process is lost with half an answer delivered.
  The caller gets an error event that says incomplete, and no closing event.

    Given a deployment of 1 entry and 2 targets
    When a caller reads a stream of 400 tokens
    And after 10 tokens the <process> that serves it is killed
    Then the stream ends with the error incomplete
    And no other engine started it

    Examples:
      | process |
      | agent   |
      | engine  |

  Scenario Outline: a whole answer that breaks off is generated anew
  A ticket's tag is asked for without streaming, and the <process> that serves
  it is lost halfway. The caller has got nothing of it yet, and the work may be
  repeated: it gets the whole answer of another engine, and no error.

    Given a deployment of 1 entry and 2 targets
    When a caller asks for a whole answer of 300 tokens
    And after 10 tokens the <process> that generates it is killed
    Then the caller gets the 300 tokens of the other engine's generation

    Examples:
      | process |
      | agent   |
      | engine  |

  Scenario Outline: a whole answer that may not be repeated breaks off
  A billed report is asked for without streaming. Generated anew it would be on
  the bill twice, so its caller is told that it broke off.

    Given a deployment of 1 entry and 2 targets
    When a caller asks for a whole answer of 300 tokens that runs at most once
    And after 10 tokens the <process> that generates it is killed
    Then its answer is told incomplete, and no other engine was asked

    Examples:
      | process |
      | agent   |
      | engine  |

  Scenario Outline: a frozen process costs a pause only
  A host is so overloaded that a process stands still for longer than its
  peers wait for a heartbeat, then goes on. Its connections were given up
  meanwhile; it must take up its streams again and pass nothing twice.

    Given a deployment of 1 entry and 1 target
    When a caller reads a stream of 60 tokens
    And after 10 tokens the <process> is frozen until its peer gives it up
    Then the stream is whole with 60 tokens
    And the engines started it once

    Examples:
      | process |
      | agent   |
      | entry   |

  Scenario: the engine preempts
  Two long answers need more cache memory than the engine has. One is thrown
  out and computed again; its caller sees a pause but every token once.

    Given a deployment whose engine has memory for one long answer
    When two callers read streams of 150 tokens
    Then both streams are whole with 150 tokens
    And the engine has preempted

  Scenario: a caller that reads nothing harms nobody
  A caller's device loses its network while an answer is on its way, so that
  nothing is read any more. The entry keeps a bounded number of tokens for it;
  other callers' streams go on.

    Given a deployment of 1 entry and 1 target
    When a caller stops reading a stream of 3000 tokens
    And a caller reads a stream of 60 tokens
    Then the stream is whole with 60 tokens
    And the entry took no more than its window of the stopped stream
