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

  Scenario: an entry and an agent that are told to reload go on
  A supervisor sends SIGHUP to all its processes. Guards against processes that
  end at once, with all calls that they have open.

    Given a deployment of 1 entry and 1 target
    When a caller reads a stream of 150 tokens
    And after 10 tokens the first entry and the first agent are told to reload
    Then the stream ends whole with 150 tokens

  Scenario: an entry that is told to stop finishes its stream
  The entry's process gets the signal to stop with a long answer on its way.
  Its health check turns, it gives new callers a final answer, and exits when
  the answer is delivered whole.

    Given a deployment of 2 entries and 1 target
    When a caller reads a stream of 400 tokens
    And after 10 tokens the first entry is told to stop
    Then a new caller at the first entry is told not_run
    And the stream ends whole with 400 tokens
    And the first entry has exited with 0

  Scenario: an entry that is told to stop twice finishes its stream
  Guards against a second signal that ends the process at once, with all
  answers that are on their way.

    Given a deployment of 2 entries and 1 target
    When a caller reads a stream of 150 tokens
    And after 10 tokens the first entry is told to stop
    And after 20 tokens the first entry is told to stop
    Then the stream ends whole with 150 tokens
    And the first entry has exited with 0

  Scenario: a caller goes on to ask as its entry leaves
  Guards against requests that an entry reads after its last call has ended
  without ever answering: their callers wait until the process is gone.

    Given a deployment of 2 entries and 1 target
    When a caller reads a stream of 50 tokens as the first entry is told to stop
    And goes on to ask on its connection until it is told to close it
    Then each of its requests got a final answer

  Scenario Outline: an entry that is told to stop finishes what has not begun
  The entry's process gets the signal to stop while a caller still waits for
  the first word of its answer. The answer comes whole before the entry exits.

    Given a deployment of 2 entries and 1 target
    And the engines make no steps
    When a caller asks <how> for 500 tokens in the background
    And the engines have started it
    And the first entry is told to stop
    And the engines make steps again
    Then the report is whole with 500 tokens
    And the first entry has exited with 0

    Examples:
      | how        |
      | repeatably |
      | once       |

  Scenario Outline: a call has no answer as its entry's time to stop is over
  Guards against a connection that is reset without an answer: its caller
  could not tell whether the call ran.

    Given a deployment of 1 entry that stops within 500 ms and 1 target
    And the engines make no steps
    When a caller asks <how> for 500 tokens in the background
    And the engines have started it
    And the first entry is told to stop
    Then the caller is told outcome_unknown
    And the first entry has exited with 0

    Examples:
      | how        |
      | repeatably |
      | once       |

  Scenario: a plain call has no answer as its entry's time to stop is over
  Guards against the same reset of a call that must not be sent again.

    Given a deployment of 1 entry that stops within 500 ms and 1 plain target
    And the plain services answer late
    When a caller sends POST to the plain service in the background
    And a plain service has run it
    And the first entry is told to stop
    Then the caller is told outcome_unknown
    And the first entry has exited with 0

  Scenario: a stream has begun as its entry's time to stop is over
  Guards against a stream that is reset: it ends with an event that names the
  generation, and another entry gives the rest.

    Given a deployment of 2 entries that stop within 500 ms and 1 target
    When a caller reads a stream of 3000 tokens
    And after 10 tokens the first entry is told to stop
    Then the stream ends as incomplete
    And the last entry has the rest of its 3000 tokens

  Scenario: a leaving entry can't say not run of a prepared generation
  A caller started its prepared report at one entry and lost it; it starts it
  again at an entry that is leaving, which knows nothing of it. That entry
  must not say that it did not run.

    Given a deployment of 2 entries and 1 target
    When a caller prepares a generation of 20 tokens
    And starts it 1 times through the last entries
    And a caller reads a stream of 150 tokens
    And after 10 tokens the first entry is told to stop
    And the engines make no steps, so that its stream goes on
    And starts it 1 times through all entries
    And the engines make steps again
    Then each start is told outcome_unknown
    And the stream ends whole with 150 tokens

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
