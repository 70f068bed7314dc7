Feature: Agents tell the pace of their engine

  Scenario: an engine whose generations grow
    Guards against an agent that measures the pace but does not report it, so
    that entries take all engines to be alike.
    Given an engine whose generation grows by a token each 12 ms
    When its agent polls it for 3 s
    Then the agent reports steps of 10800 to 13200 us

  Scenario: an engine that has just restarted
    Given an engine whose generation grows by a token each 12 ms
    When its agent polls it for 3 s
    And the engine restarts, and is polled twice
    Then the agent reports steps of 0 to 0 us

  Scenario: an engine that stops answering
    Guards against a last pace that is lost or grows while nothing is known.
    Given an engine whose generation grows by a token each 12 ms
    When its agent polls it for 3 s
    And the engine does not answer for 5 s
    Then the agent reports steps of 10800 to 13200 us
