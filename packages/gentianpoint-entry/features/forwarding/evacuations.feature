Feature: Evacuated data centres get no new work
  An operator empties a data centre before its power is cut or its network is
  changed. What is still sent there is lost, and what was sent elsewhere for no
  reason overloads the other data centres.

  Scenario Outline: news of an evacuation spread while an entry fails
    Guards against entries that go on sending to an evacuated data centre
    since the one that reads the log for all of them stopped, was turned away
    or was cut off at any moment before, and against entries that never return
    to a data centre that was taken back.
    Given 12 entries that send all the time, and hear of evacuations within 3000 ms
    When <changes> while the first reader <fault> at any phase
    Then no entry sends to an evacuated data centre after 3000 ms
    And all use it again within 3000 ms

    Examples:
      | changes                        | fault                      |
      | one is evacuated and taken back | goes on                    |
      | one is evacuated and taken back | stops                      |
      | one is evacuated and taken back | is turned away by the log  |
      | one is evacuated and taken back | is cut off from the others |
      | one is taken back at once       | goes on                    |
      | one is taken back at once       | stops                      |
      | one is evacuated twice          | is turned away by the log  |
      | one is evacuated by turns       | is cut off from the others |
      | all are evacuated               | stops                      |
      | an unknown one is evacuated     | stops                      |

  Scenario: an entry that starts in the middle of an evacuation
    Guards against an entry that serves callers before it has heard of the
    evacuation: the configuration and the evacuations come with one reading.
    Given 3 entries that send all the time, and hear of evacuations within 3000 ms
    When an entry starts while one is evacuated
    Then it never sends there

  Scenario: an entry that the log turns away
    Guards against an entry that learns of evacuations from the log alone.
    Given 12 entries that send all the time, and hear of evacuations within 3000 ms
    When the log turns 8 of them away as one is evacuated
    Then no entry sends to an evacuated data centre after 3000 ms

  Scenario: a second send
    Guards against retries that go where first sends no longer go.
    Given a plain request that may be repeated
    And target a answers: lost
    And target b answers: answer
    And target c answers: answer
    And the data centre of b is evacuated
    When the request is served
    Then the caller is given the body of c
    And target b received no request

  Scenario Outline: nothing is left that takes work
    Guards against a caller that waits for a data centre that is evacuated for
    minutes, and against one that is told to come back at once.
    Given a plain request that may be repeated
    And target a answers: answer
    And target b answers: answer
    And the data centre of <evacuated> is evacuated
    When the request is served
    Then the caller is refused with status 503
    And it took less than half a second
    And target a received no request
    And target b received no request

    Examples:
      | evacuated |
      | all       |

  Scenario: the data centre of a generation is evacuated
    What runs there moves out while its caller goes on reading.
    Given a generation that may run once, without copies
    And target a answers: events 1-30 then end
    And target b answers: events 6-30 then end
    And copies of its memory: copied
    When the request is served, and the data centre of a is evacuated after event 5
    Then the caller has events 1 to 30, each once, as a complete answer
    And target b was asked to continue from the handle of the move

  Scenario: the destination of a move is evacuated
    Guards against a generation that moves into a data centre which was
    evacuated after the move had been agreed.
    Given a generation that may run once, without copies
    And target a answers: events 1-30 then end
    And target b answers: events 6-30 then end
    And copies of its memory: copied
    When the request is served, and b is evacuated once a has begun to move it
    Then the caller has events 1 to 30, each once, as a complete answer
    And target b received no request
    And the copy at b is released

  Scenario: the source is evacuated and the last copy finds no room
    Guards against a generation that is sent once more to the evacuated target
    that had stopped it.
    Given a generation that may run once, without copies
    And target a answers: events 1-30 then end
    And target b answers: events 6-30 then end
    And copies of its memory: copied, no room
    When the request is served, and the data centre of a is evacuated after event 5
    Then target a received 1 request

  Scenario: a backup that was evacuated
    Guards against a generation that continues from a copy in an evacuated
    data centre after its target has ended.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-3 then break
    And target b answers: events 4-6 then end
    When the request is served, and the data centre of b is evacuated after event 2
    Then the caller has events 1 to 3, and the answer is broken off
    And target b received no request
