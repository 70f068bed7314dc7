Feature: Agents announce engines that have just started
  The platform's list names a new engine a second after its start, and not at
  all while the log is unavailable. Its agent knows of it at once.

  Scenario: entries that the agent does not know
    An agent's settings name only some of the entries, and may be outdated.
    Callers also reach the others, whose generations need the new engine's
    capacity just as much.
    Given two entries that know each other, and an address without an entry
    And an agent that knows the first entry and that address
    When its engine starts
    Then both entries use the engine

  Scenario: an engine that is not healthy yet
    An engine answers its health check only some time after its process has
    started, and its identifier is not known before.
    Given two entries that know each other, and an address without an entry
    And an agent that knows the first entry and that address
    When its engine starts, and passes the third health check
    Then both entries use the engine

  Scenario: a service that is not configured
    Given two entries that know each other, and an address without an entry
    And an agent that knows the first entry and that address
    When an engine of another service starts
    Then no entry uses the engine

  Scenario: an invalid address
    Guards against an announcement from a misconfigured agent that ends the
    entry, and with it every answer in progress, when it tries to connect.
    Given two entries that know each other, and an address without an entry
    And an agent that knows the first entry and that address
    When an engine at "somewhere" starts
    Then no entry uses the engine

  Scenario Outline: an announcement with an unusable name
    The name of an engine is sent in a header, and that of a data centre to
    other entries. Guards against an engine to which each request crashes.
    Given two entries that know each other, and an address without an entry
    And an agent that knows the first entry and that address
    When an engine <words> starts
    Then no entry uses the engine

    Examples:
      | words                                 |
      | whose identifier has a line end       |
      | whose identifier has 256 bytes        |
      | in a data centre of 256 bytes         |
