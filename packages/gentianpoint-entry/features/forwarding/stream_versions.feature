Feature: A stream continues only at the software version that began it
  Targets of several versions may serve side by side. What two versions write
  does not fit together, and targets do not check it.

  Scenario Outline: the target with the copy has other software
    Guards against a report whose halves were written by two versions.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-3 then break
    And target b answers: events 4-6 then end
    And target a has the software <first>
    And target b has the software <second>
    When the request is served
    Then the caller has events 1 to 3, and the answer is broken off
    And target b received no request

    Examples:
      | first             | second            |
      | v1                | v2                |
      | v2                | v1                |
      | v1                | that is not known |
      | that is not known | v1                |
      | that is not known | that is not known |

  Scenario: a copy at the one target of the same version
    Guards against a copy at the target that has most room, which can't go on.
    Given a generation that may run once, with a copy at a second target
    And target a answers: events 1-3 then break
    And target b answers: events 4-6 then end
    And target c answers: events 4-6 then end
    And target b has the software v2
    When the request is served
    Then the caller has events 1 to 6, each once, as a complete answer
    And target c was asked to continue after event 3 from the copy that it keeps
    And target b received no request

  Scenario: a target leaves beside one of each version
    Guards against a generation that is moved to another version, which pauses
    less than any other way and so is tried first.
    Given a generation that may run once, without copies
    And target a answers: events 1-40 then break
    And target b answers: events 24-50 then end
    And target c answers: events 24-50 then end
    And copies of its memory: copied
    And target b has the software v2
    When the request is served and a gets notice after event 20
    Then target b received no request
    And target c was asked to continue from the handle of the move

  Scenario: a target leaves beside targets of another version only
    Guards against a generation that is stopped although it can't go on.
    Given a generation that may run once, without copies
    And target a answers: events 1-40 then end
    And target b answers: events 24-40 then end
    And copies of its memory: copied
    And target b has the software v2
    When the request is served and a gets notice after event 20
    Then the caller has events 1 to 40, each once, as a complete answer
    And target b received no request

  Scenario: a second try within one answer
    Guards against tags that two versions have written.
    Given a generation that may be resumed
    And target a answers: events 1-2 then break
    And target b answers: events 3-4 then end
    And target c answers: events 3-4 then end
    And target b has the software v2
    When the request is served
    Then the caller has events 1 to 4, each once, as a complete answer
    And target c was asked to continue after event 2 without a copy
    And target b received no request

  Scenario: no target of the version is left
    Guards against a stream that goes on anywhere rather than nowhere.
    Given a generation that may be resumed
    And target a answers: events 1-2 then break
    And target b answers: events 3-4 then end
    And target b has the software v2
    When the request is served
    Then the caller has events 1 to 2, and the answer is broken off
    And target b received no request

  Scenario: a target breaks off before the first event
    Nothing was written yet, so any version may begin the stream.
    Given a generation that may be resumed
    And target a answers: events 1-0 then break
    And target b answers: events 1-4 then end
    And target b has the software v2
    When the request is served
    Then the caller has events 1 to 4, each once, as a complete answer
