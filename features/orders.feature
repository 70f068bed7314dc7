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
