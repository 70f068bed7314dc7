Feature: Entries wait for an agent's turn before they move a generation

  Scenario: many generations wait for a turn longer than the engine has left
    Guards against generations that start to move without a turn while the
    agent still grants turns. With seven generations on one engine and a third
    of a second for each copy, all would share the link, and the copy that has
    the turn would not be complete before the engine stops.
    Given an agent that keeps reporting and grants no turn
    When a generation waits for its turn
    Then it still waits after ten seconds

  Scenario: the agent stops while a generation waits
    Guards against waiting for an agent that has stopped or lost its
    connection. The engine may still be healthy, and its generations can
    still be moved.
    Given an agent that grants no turn and stops reporting after a second
    When a generation waits for its turn
    Then it goes on within 1300 ms

  Scenario: the turn is granted
    Given an agent that grants the turn after 600 ms
    When a generation waits for its turn
    Then it goes on within 700 ms
