Feature: Logging never blocks a process

  Scenario: nobody reads the lines
    The reader of a process's output has stopped. A blocking write would stall
    all requests; instead lines are dropped and counted.
    Given a writer to a pipe that nobody reads
    When 20000 lines are written
    Then no write has blocked
    And lines were dropped and counted
    And the pipe contains only complete lines, starting with the first

  Scenario: an event occurs very often
    Under load every request is refused and logs a line. The number of lines
    per second of one event is limited, and the dropped lines are counted.
    Given a rate limiter with a test clock
    When 250 lines of one event and 3 of another come in a second
    Then 100 lines of the first event and 3 of the second are written
    And a second later 150 dropped lines are reported for the first event
