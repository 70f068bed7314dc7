Feature: Turns to move generations, as an entry waits for them

  Scenario: many wait for a turn longer than an engine has left
    Seven generations leave one engine, and each copy takes a third of a
    second. Were those that still wait to start without a turn, the copy under
    way would share the link with all of them and miss the engine's end, and
    its caller would lose a report that was nearly saved.
    Given an agent that is heard and gives no turn
    When a generation waits for its turn
    Then it still waits after ten seconds

  Scenario: the agent stops while a generation waits
    The host stands still, or the agent was killed and its connection went
    silent. The engine may be well, and its generations can still be moved.
    Given an agent that gives no turn and is no longer heard after a second
    When a generation waits for its turn
    Then it goes on within 1300 ms

  Scenario: the turn comes
    Given an agent that gives the turn after 600 ms
    When a generation waits for its turn
    Then it goes on within 700 ms
