Feature: Agents are told each change of their service

  Scenario: a change that comes while an older state is being sent
    A change is folded while the connection still takes the message with the
    state before it. An agent that was not told would refuse a service that
    is declared, or serve one by its old resource, until a later change.
    Given a connection that takes a message only after a further change
    When the configuration is sent
    Then the agent is told the offset before the change and that after it

  Scenario: a change that is not of the agent's service
    Most changes are of customers, whom only entries know. Told to every
    agent, they would be a sixth of an entry's control traffic. Operators
    still see such a change in force on the agent's host.

    Given an agent that confirms what it is told
    When a record is folded that does not concern its service
    Then the agent is told the first offset only
    And the change counts as in force there

  Scenario: an agent that has not confirmed its service
    An agent's host stands still with a change of its service on the way. An
    operator who then changes a customer must not read that either change is
    in force there.

    Given an agent that confirms nothing
    When a record is folded that does not concern its service
    Then the agent is told the first offset only
    And the change does not count as in force there

  Scenario: a target of the service comes or goes
    How many targets load at a time follows their number, which the host list
    gives without any change of the configuration.

    Given an agent that confirms what it is told
    When the host list shows 3 targets of its service
    Then the agent is told again, with 3 targets
