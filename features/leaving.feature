Feature: Leaving and shutting down cut nothing
  Hosts are replaced many times a day. One that leaves gets no new work after
  a few seconds and finishes what runs, however long that takes; callers
  notice nothing.

  Scenario: an agent that is told to stop finishes its stream
  The agent's process gets the signal to stop with a long answer on its way.
  It refuses new work at once and exits when the answer is delivered whole.

    Given a deployment of 1 entry and 2 targets
    When a caller reads a stream of 150 tokens
    And after 10 tokens the agent that serves it is told to stop
    And 6 callers ask for 5 tokens each
    Then the stream is whole with 150 tokens while the agent leaves
    And the agent has exited with 0
    And the leaving agent started nothing new
    And all the callers got whole answers

  Scenario: an entry that is told to stop finishes its stream
  The entry's process gets the signal to stop with a long answer on its way.
  Its health check turns, it gives new callers a final answer, and exits when
  the answer is delivered whole.

    Given a deployment of 2 entries and 1 target
    When a caller reads a stream of 150 tokens
    And after 10 tokens the first entry is told to stop
    Then a new caller at the first entry is told not_run
    And the stream ends whole with 150 tokens
    And the first entry has exited with 0

  Scenario: the host list says that a host leaves
  The platform marks a host as leaving without telling the process. Entries
  read it in the list, and offer it nothing new.

    Given a deployment of 1 entry and 2 targets
    When the host list says that the first target's host leaves
    And the entry has read that the first target leaves
    And 8 callers ask for 5 tokens each
    Then all the callers got whole answers
    And the first target's engine started nothing

  Scenario: the host list is down while an agent leaves
  The host list can't be read and still names a host that is leaving. The
  agent's own word counts.

    Given a deployment of 1 entry and 2 targets
    And the host list is down
    When the first target's agent is told to stop
    And the first target's agent has exited
    And 8 callers ask for 5 tokens each
    Then all the callers got whole answers
    And the first target's engine started nothing

  Scenario: the platform takes an engine away
  An engine is reclaimed at short notice. Its agent learns it from the load
  report, and gets nothing new while the notice runs.

    Given a deployment of 1 entry and 2 targets
    When the first target's engine is to be reclaimed in 60000 ms
    And the entry has heard that the first target leaves
    And 8 callers ask for 5 tokens each
    Then all the callers got whole answers
    And the first target's engine started nothing
