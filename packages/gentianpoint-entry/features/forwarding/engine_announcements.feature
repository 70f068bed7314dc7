Feature: Agents tell entries of engines that have just started
  The platform's list names a new engine a second after its start, and while
  the log is away not at all. Its agent knows it at once.

  Scenario: entries that the agent does not know
    An agent's settings name some entries, which may be old by now. Callers
    reach the others as well, and their generations need the new engine's room
    as much.
    Given two entries that know each other, and an address where none is
    And an agent that knows the first entry and that address
    When its engine starts
    Then both entries use the engine

  Scenario: an engine that is not well yet
    An engine answers its health check only some time after its process has
    started. Its identifier is not known before.
    Given two entries that know each other, and an address where none is
    And an agent that knows the first entry and that address
    When its engine starts, and is well at the third question
    Then both entries use the engine

  Scenario: a service that the configuration does not know
    Given two entries that know each other, and an address where none is
    And an agent that knows the first entry and that address
    When an engine of another service starts
    Then no entry uses the engine

  Scenario: an address that is none
    An agent's settings are broken. An entry that tried to connect there would
    end, and with it every answer that it is giving.
    Given two entries that know each other, and an address where none is
    And an agent that knows the first entry and that address
    When an engine at "somewhere" starts
    Then no entry uses the engine
