Feature: A plain request is answered once
  Some calls of plain services may be repeated and some may not, and targets
  lose answers, refuse, or give answers that are none.

  Scenario Outline: what a caller gets when the first target does not serve
    The first target fails in one way or another while the second is well.
    A lookup that may be repeated is answered by the second; one that may not
    is answered by it only when the first surely has not run it.
    Given a plain request that may <repeat>
    And target a answers: <first>
    And target b answers: body
    When the request is served
    Then the caller is given <answer>
    And <asked> targets were asked

    Examples:
      | repeat          | first            | answer                | asked |
      | be repeated     | body             | the body of a         | 1     |
      | be repeated     | refuse           | the body of b         | 2     |
      | be repeated     | unreachable      | the body of b         | 1     |
      | be repeated     | lost             | the body of b         | 2     |
      | be repeated     | mute             | the body of b         | 2     |
      | be repeated     | failure          | the body of b         | 2     |
      | be repeated     | unmarked         | the body of b         | 2     |
      | be repeated     | unproved refusal | the body of b         | 2     |
      | run once only   | body             | the body of a         | 1     |
      | run once only   | refuse           | the body of b         | 2     |
      | run once only   | unreachable      | the body of b         | 1     |
      | run once only   | other target     | the body of b         | 2     |
      | run once only   | lost             | status 502            | 1     |
      | run once only   | unmarked         | status 502            | 1     |
      | run once only   | unproved refusal | status 502            | 1     |
      | run once only   | failure          | status 500            | 1     |
      | run once only   | mute             | status 504            | 1     |

  Scenario: every target refuses
    All targets are full. The caller is told at once that its request has not
    run, and when to come back.
    Given a plain request that may run once only
    And target a answers: refuse
    And target b answers: refuse
    When the request is served
    Then the caller is given status 503
    And it took less than half a second

  Scenario: a target's own failure is what there is
    Both targets fail a request that may be repeated. The caller gets the
    answer of a target, not one of the system's own.
    Given a plain request that may be repeated
    And target a answers: failure
    And target b answers: failure
    When the request is served
    Then the caller is given status 500
    And 2 targets were asked

  Scenario: a target's own failure when no retry is left
    A target fails while many others do, so the budget for retries is spent.
    Its answer is there: the caller gets it, and isn't told that it was lost.
    Given a plain request that may be repeated
    And target a answers: failure
    And target b answers: body
    And no retry is left
    When the request is served
    Then the caller is given status 500
    And 1 targets were asked

  Scenario: a target's failure is replaced by another target's answer
    The caller notices a longer wait at most. Without a line nobody finds the
    target that fails, and retries seem to come from nowhere.
    Given a plain request that may be repeated
    And target a answers: failure
    And target b answers: body
    When the request is served
    Then the caller is given the body of b
    And a line tells of status 500 at a, which has run it

  Scenario: the last target that a request is sent to fails
    Three targets are full and the fourth fails. Were its answer dropped for
    a fifth attempt that is never made, the caller would get none.
    Given a plain request that may be repeated
    And target a answers: refuse
    And target b answers: refuse
    And target c answers: refuse
    And target d answers: failure
    And target e answers: body
    When the request is served
    Then the caller is given status 500
    And 4 targets were asked
