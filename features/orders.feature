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
