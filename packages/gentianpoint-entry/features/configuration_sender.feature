Feature: Agents are sent each change of their service

  Scenario: a change is applied while an older state is being sent
    Guards against a missed change: it is applied while the connection is
    still sending a message with the state before it. An agent that never got
    the change would refuse a service that is declared, or serve one by its
    old resource, until a later change.
    Given a connection whose first send takes until a further change
    When the configuration is sent
    Then the agent is sent the offset before the change and the one after it

  Scenario: a change that does not concern the agent's service
    Most changes concern customers, whose resources agents don't get. Sent to
    every agent, they would be a sixth of an entry's control traffic. Such a
    change still has to be reported as in force on the agent's host.

    Given an agent that confirms every message
    When a record is applied that does not concern its service
    Then the agent is sent only the first offset
    And the change counts as in force on its host

  Scenario: an agent that has not confirmed its service
    An agent's host is suspended with a change of its service on the way. If
    an operator then changes a customer, neither change may be reported as in
    force on this host.

    Given an agent that confirms nothing
    When a record is applied that does not concern its service
    Then the agent is sent only the first offset
    And the change does not count as in force on its host

  Scenario: the number of targets of the service changes
    The number of targets that load at a time depends on the number of
    targets, which changes in the host list without any change of the
    configuration.

    Given an agent that confirms every message
    When the host list has 3 targets of its service
    Then the agent is sent a second message, with 3 targets
