Feature: Connections of the own interface to a target
  A faulty target may send an answer again, at the point where the next one is
  expected. Nothing in an answer tells to which call it belongs.

  Scenario Outline: a second answer before that to the next call
    Guards against a caller who gets the answer to another caller's call.
    Given a target that on its first connection sends: answer 1, late answer 1, answer 2
    And that on its second connection sends: answer 2
    When the adapter of <targets> makes two calls
    Then the answers belong to calls 1 and 2

    Examples:
      | targets        |
      | plain services |
      | engines        |

  Scenario Outline: a status that is none
    Guards against an answer whose status a caller can't understand.
    Given a target that on its first connection sends: answer 1 with status <status>
    When the adapter of <targets> makes one call
    Then the call fails and may have run

    Examples:
      | targets        | status        |
      | plain services | 000           |
      | plain services | 000 after 103 |
      | plain services | 0000          |
      | engines        | 000           |
      | engines        | 000 after 103 |
      | engines        | 0000          |
      | streams        | 000           |
      | streams        | 000 after 103 |
