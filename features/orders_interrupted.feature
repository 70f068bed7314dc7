Feature: Orders to engines survive lost answers, restarts and races
  An order's answer may be lost, and engines, agents and operators may come and
  go while it is carried out; the engine must end up with what was declared
  last.

  Scenario Outline: an older agent wakes up after <change>
  The older agent was paused past its lease. It knows the old declaration
  only. What it sees at the engine differs from that, and it would undo it.

    Given a deployment with 1 target whose engine <way> fencing numbers
    When the agent is frozen
    And another agent takes its place
    And an operator declares <change>
    And the engine has carried out <change>
    And the older agent goes on and finds that it was superseded
    Then the engine has carried out <change>
    And the engine took no order of the older agent

    Examples:
      | change               | way     |
      | the service unloaded | checks  |
      | the service unloaded | ignores |
      | the role decode      | checks  |
      | the role decode      | ignores |

  Scenario Outline: the answer to an order is lost by <lose_by>
  The engine has taken the order to load, but its answer does not arrive. If
  the target took calls again they would die when the old model goes.

    Given a deployment with 1 target whose loads take 1500 ms
    And the engine loses the answer to 1 order by <lose_by>
    When an operator declares version 2
    And callers read streams of 200 tokens until the engine holds version 2
    Then no stream of theirs was cut
    And the agent logged order_answer_lost
    And the engine took 1 order

    Examples:
      | lose_by |
      | drop    |
      | status  |

  Scenario: an engine is restarted between its order and its report
  The engine dies while it loads and comes back with the version that it was
  built with. Its order went with it.

    Given a deployment with 1 target whose loads take 3000 ms
    When an operator declares version 2
    And the agent has logged order_sent
    And the engine is restarted with version 1
    Then the engine holds version 2

  Scenario: an agent is replaced while its engine loads
  The agent that gave the order dies, and the next one finds an engine that
  still serves the old version and is about to drop it. Calls taken in between
  would be cut.

    Given a deployment with 1 target whose loads take 12000 ms
    When an operator declares version 2
    And the agent has logged order_sent
    And the agent is killed and replaced
    And callers read streams of 200 tokens until the engine holds version 2
    Then no stream of theirs was cut

  Scenario: an engine that dies while it loads does not stop the others
  The last that its agent heard of it is that it loads. If that were waited
  for, with the turn in hand, no other target would get the new version.

    Given a deployment with 2 targets whose loads take 2000 ms
    When an operator declares version 2
    And the first engine that gets an order is killed
    Then the other engine holds version 2

  Scenario: a stream that outlasts the wait keeps no turn
  A report runs for longer than the target may wait for it. If it waited on,
  the other targets would stay at their old version, and this one would take
  no new calls.

    Given a deployment with 2 targets that wait 500 ms for running calls
    When a caller reads a stream of 900 tokens
    And after 10 tokens an operator declares version 2
    Then the engine without the stream holds version 2
    And the agent with the stream logged order_postponed
    And the stream ends whole with 900 tokens
    And all engines hold version 2

  Scenario: operators declare conflicting states at once
  Two operators write again and again through two entries, one wants the
  service unloaded, one another version or role. The engine ends in the state
  that was accepted last, whatever it was on the way to.

    Given a deployment with 2 entries and 1 target
    When two operators declare conflicting states at once 6 times each
    Then the engine ends in the state that was accepted last
