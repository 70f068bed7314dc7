Feature: A plain request is answered once
  Targets lose answers, refuse requests, or give answers without their seal,
  and only some calls may be repeated.

  Scenario Outline: what a caller gets when the first target does not serve
    A call that may be repeated is answered by the second target. One that may
    run only once is answered by it only if the first target certainly has not
    run it.
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
    Guards against a caller that waits although all targets are full. It is
    told at once that its request has not run, and when to come back.
    Given a plain request that may run once only
    And target a answers: refuse
    And target b answers: refuse
    When the request is served
    Then the caller is given status 503
    And it took less than half a second

  Scenario: both targets fail
    Guards against an answer of the entry's own where a target has given one.
    Given a plain request that may be repeated
    And target a answers: failure
    And target b answers: failure
    When the request is served
    Then the caller is given status 500
    And 2 targets were asked

  Scenario: a target's own failure when no retry is left
    The limit on retries is spent because many targets fail. Guards against a
    caller that is told that the answer was lost, although a target has given
    one.
    Given a plain request that may be repeated
    And target a answers: failure
    And target b answers: body
    And no retry is left
    When the request is served
    Then the caller is given status 500
    And 1 targets were asked

  Scenario: a target's failure is replaced by another target's answer
    The caller sees at most a longer wait. Without a log line the failing
    target cannot be found, and retries have no visible cause.
    Given a plain request that may be repeated
    And target a answers: failure
    And target b answers: body
    When the request is served
    Then the caller is given the body of b
    And a log line tells of status 500 at a, which may have run it

  Scenario: the last target that a request is sent to fails
    Three targets are full and the fourth fails. Guards against its answer
    being discarded for a fifth attempt that is never made, which leaves the
    caller without any.
    Given a plain request that may be repeated
    And target a answers: refuse
    And target b answers: refuse
    And target c answers: refuse
    And target d answers: failure
    And target e answers: body
    When the request is served
    Then the caller is given status 500
    And 4 targets were asked

  Scenario Outline: targets take more than half of the time that a caller has
    All targets of a service are slow. Guards against a kind of call of which
    none is answered, since each target is given up before its answer comes.
    Given a plain request that may be repeated, whose caller waits 1500 ms
    And target a answers: <first>
    And target b answers: <second>
    When the request is served
    Then the caller is given <answer>
    And <asked> targets were asked

    Examples:
      | first        | second       | answer        | asked |
      | slow body    | slow body    | the body of a | 2     |
      | slow body    | body         | the body of b | 2     |
      | slow body    | failure      | the body of a | 2     |
      | slow body    | lost         | the body of a | 2     |
      | slow body    | refuse       | the body of a | 2     |
      | slow failure | body         | the body of b | 2     |
      | mute         | slow body    | status 504    | 2     |

  Scenario: the only retry is taken while a target is late
    Guards against a call that fails as its target is given up, although no
    other may be asked.
    Given a plain request that may be repeated, whose caller waits 1500 ms
    And target a answers: slow body
    And target b answers: body
    And no retry is left
    When the request is served
    Then the caller is given the body of a
    And 1 targets were asked

  Scenario: a caller leaves with its answer
    Guards against a log line which says that the caller left before it was
    answered.
    Given a plain request that may run once only
    And target a answers: body
    When its caller leaves as soon as it has the whole answer
    Then the caller is given the body of a
    And the log line that ends the request has the outcome answered
