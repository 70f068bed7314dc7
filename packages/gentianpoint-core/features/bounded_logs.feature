Feature: Log lines hold no process up

  Scenario: nobody reads the lines
    The reader of a process's output has stopped. Requests would stand still
    if a line waited for it; instead lines are left out and counted.
    Given lines that go into a pipe that nobody reads
    When 20000 lines are written
    Then no write has waited
    And lines were left out and counted
    And what is read later is whole lines from the first on

  Scenario: an event comes in great numbers
    Under load every request is refused, each with a line. The lines of one
    event are bounded in each second, and a count tells the others.
    Given the rates of events on a clock
    When 250 lines of one event and 3 of another come in a second
    Then 100 lines of the one and 3 of the other are written
    And a second later 150 of the one are told to be left out
