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
