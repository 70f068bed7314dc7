Feature: Engines are asked for their present state before a generation is sent

  Scenario: several entries see the same idle engine
    Reports that entries pass on are some tenths of a second old. Guards
    against entries that all send to the engine that looked idle, while its
    prompts wait for seconds and other engines have nothing to do.
    Given engines a, b and c, of which a looks idle by its report
    But a has 9000 prompt tokens to process by now
    When a target is chosen for 20 generations
    Then none of them goes to a

  Scenario: an engine whose host is lost
    Guards against generations that are sent to an engine which went dark a
    moment ago, and which the list names for seconds.
    Given engines a, b and c, of which a looks idle by its report
    But the agent of a does not answer
    When a target is chosen for 20 generations
    Then none of them goes to a

  Scenario: a start that has ended
    All hosts lost power, and the list still names the engines' earlier starts.
    Guards against requests that are refused at each of them, until entries
    that have just started have no retry left.
    Given 3 agents, of which 0 are silent
    But another start of the engine has the address of the first
    When their states are asked for
    Then the first is not chosen any more
    And the states of 2 engines are up to date

  Scenario: agents that do not answer
    Guards against a request that waits for an agent whose host is gone, and
    against one that finds no target without the answers.
    Given 3 agents, of which 3 are silent
    When their states are asked for
    Then the answers are given up within 100 ms
    When their states are asked for 2 times more
    Then nothing was waited for the last time

  Scenario: one of several agents is silent
    Given 3 agents, of which 1 is silent
    When their states are asked for
    Then the states of 2 engines are up to date

  Scenario: an agent that answers again
    Guards against an agent that is never asked again after its host paused.
    Given 1 agents, of which 1 is silent
    When their states are asked for 3 times
    And the silent agents answer again, 3 seconds later
    And their states are asked for
    Then the states of 1 engines are up to date

  Scenario: any datagram may arrive
    Guards against a datagram from elsewhere that ends the entry, or counts as
    the state of an engine.
    Given 1 agents, of which 0 is silent
    When 300 random datagrams arrive as their states are asked for
    Then the states of 1 engines are up to date
