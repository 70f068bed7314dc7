Feature: Orders to engines come from one agent and cut nothing
  Engines take orders to load models and versions. Two agents may stand beside
  one engine for a while, the older one paused, and some engines take any
  order; the engine must end up with what was declared last.

  Scenario Outline: a new version is loaded under a running stream
  An operator declares a new version while a long answer is on its way. The
  target takes nothing new, the answer ends whole, then the engine loads.

    Given a deployment with 1 target whose engine <way> fencing numbers
    When a caller reads a stream of 150 tokens
    And after 10 tokens an operator declares version 2
    Then the stream ends whole with 150 tokens
    And the engine holds version 2

    Examples:
      | way     |
      | checks  |
      | ignores |

  Scenario Outline: the older of two agents wakes up
  An agent is paused past its lease and another one takes its place; a new
  version is declared and loaded. The older one wakes up, still believes that
  it holds the target, and finds an engine that differs from what it knows.

    Given a deployment with 1 target whose engine <way> fencing numbers
    When the agent is frozen
    And another agent takes its place
    And an operator declares version 2
    And the engine has loaded version 2
    And the older agent goes on and finds that it was superseded
    Then the engine holds version 2
    And the engine took no order for version 1 after it

    Examples:
      | way     |
      | checks  |
      | ignores |

  Scenario: an engine that comes back empty is put right
  An engine was restarted and holds the version that it was built with. The
  agent compares what it reports with what is declared, and orders it anew.

    Given a deployment with 1 target whose engine checks fencing numbers
    When an operator declares version 2
    And the engine has loaded version 2
    And the engine is restarted with version 1
    Then the engine holds version 2

  Scenario: targets load in turns
  A new version is declared for five targets. If all loaded at once the
  service would be gone for that time; callers get answers all the while.

    Given a deployment with 5 targets whose loads take 400 ms
    When an operator declares version 2
    And callers ask for 3 tokens until all engines hold version 2
    Then all their answers were whole

  Scenario Outline: a service is declared <state> under a running stream
  An operator takes a service out of use while a long answer is on its way.
  The answer ends whole; new calls are told at once that they did not run, and
  why. Declared loaded, the service is back.

    Given a deployment with 1 target whose engine <way> fencing numbers
    When a caller reads a stream of 150 tokens
    And after 10 tokens an operator declares the service unloaded
    Then new calls are refused as not run, since it is declared unloaded
    And the stream ends whole with 150 tokens
    And the engine holds nothing
    When an operator declares version 2
    Then the engine holds version 2
    And a new call is answered

    Examples:
      | state    | way     |
      | unloaded | checks  |
      | unloaded | ignores |

  Scenario: a deleted service is unloaded
  An operator deletes a service. Its engines would else hold on to memory
  that nobody uses, and answer nobody.

    Given a deployment with 1 target whose engine checks fencing numbers
    When an operator deletes the service
    Then the engine holds nothing
    When an operator declares version 2
    Then the engine holds version 2
    And a new call is answered

  Scenario: an engine of a service that was deleted earlier is unloaded
  The agent was replaced after the deletion and never saw the service. It
  leaves the engine alone for a while, as the service may be declared soon.

    Given a deployment with 1 target whose engine checks fencing numbers
    When the agent is killed and an operator deletes the service
    And an agent takes the place of the killed one
    Then the engine holds nothing

  Scenario Outline: a role is changed under a running stream
  An engine that changes its role drops its streams. The target takes nothing
  new, the answer ends whole, then the engine gets its order.

    Given a deployment with 1 target whose engine <way> fencing numbers
    When a caller reads a stream of 150 tokens
    And after 10 tokens an operator declares the role decode
    Then the stream ends whole with 150 tokens
    And the engine has the role decode
    And a new call is answered

    Examples:
      | way     |
      | checks  |
      | ignores |

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
