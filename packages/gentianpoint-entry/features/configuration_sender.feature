Feature: Agents are told each change of their service

  Scenario: a change that comes while an older state is being sent
    A change is folded while the connection still takes the message with the
    state before it. An agent that was not told would refuse a service that
    is declared, or serve one by its old resource, until a later change.
    Given a connection that takes a message only after a further change
    When the configuration is sent
    Then the agent is told the offset before the change and that after it
