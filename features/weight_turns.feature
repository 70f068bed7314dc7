Feature: Loads share the weight store's rate
  The weight store gives a limited rate to all engines of all services. A rack
  or a data centre that comes back has many empty engines at once; if all read
  together each read takes as long as all, and the store refuses most.

  Scenario: engines of two services come back together
  Six engines of two services hold nothing after a power cut. Whatever their
  service, no more of them read at once than the store's rate carries.

    Given a weight store that carries 2 reads at a time
    And 3 targets each of 2 services whose engines hold nothing
    When all engines hold what is declared
    Then the store was never read by more than 2 at once
    And the store was read 6 times and refused none

  Scenario: a holder that dies while it reads loses its turn
  The host of the engine that reads goes down and gives nothing back. The
  others would wait for it for ever.

    Given a weight store that carries 1 read at a time
    And 3 targets whose engines hold nothing
    When the first target that has a turn is killed with its engine
    Then all other engines hold what is declared
    And the store was never read by more than 1 at once

  Scenario: a holder that is frozen loses its turn
  The agent that has the turn is paused for longer than the turn lasts, while
  its engine reads on to the end. When it wakes it goes on without harm.

    Given a weight store that carries 1 read at a time
    And 3 targets whose engines hold nothing
    When the first agent that has a turn is frozen
    Then all other engines hold what is declared
    When the frozen agent goes on
    Then all engines hold what is declared
    And the store was never read by more than 1 at once

  Scenario: empty engines load while the log is out
  Four engines and their agents are replaced while the log is out, so that
  nobody can give turns. They become useful all the same; what they read too
  much at once the store refuses, and a refusal leads to a wait.

    Given a weight store that takes 2 reads at a time and refuses more
    And 4 targets whose engines hold what is declared
    When the log goes out and all engines and agents are replaced
    Then all engines hold what is declared
    And a call for the service is answered
    And the store was never read by more than 2 at once
    And the store refused no engine more than once a second
    When the log serves again
    Then all new agents claim their targets

  Scenario: an engine that serves waits for the log
  The log goes out before a new version can be ordered. The target serves the
  old version on and takes the new one when the log is back.

    Given a weight store that carries 2 reads at a time
    And 1 target whose engine holds what is declared
    When the log goes out for all but the entries' configuration
    Then a call for the service is answered
    When the log serves again
    And an operator asks for version 3 of the service
    Then the service has version 3 everywhere

  Scenario: the weight store refuses to tell sizes
  The weight store is out when empty engines come back. Their agents ask again
  after the time that it names, and not in a storm.

    Given a weight store that carries 2 reads at a time
    And the weight store is out
    And 3 targets whose engines hold nothing
    When each agent was refused 6 times
    Then the store was asked no more than once a second by each agent
    When the weight store is back
    Then all engines hold what is declared
