Feature: A request with an idempotency key runs at most once
  Callers who make one call send the same key again until they have an
  answer. Whatever was lost in between, the report that the key stands for is
  billed once. Starts are counted at the engines and plain services.

  Scenario: the entry dies and the caller repeats its call at another
  An entry host is lost with a keyed report running. The caller has only its
  key to ask for the answer with; by that it gets the report that runs already.

    Given a deployment of 2 entries and 2 targets
    And the engines make no steps
    When a caller sends a report of 20 tokens with a key in the background
    And the engines have started it
    And the first entry dies
    And the engines make steps again
    And the call with the key is repeated 3 times at the last entry
    Then each repeat has the same whole answer of 20 tokens
    And the engines started it once

  Scenario: an entry dies between its claim and the start
  The entry had claimed the key for an identifier when its host was lost, and
  nothing runs yet. The repeat must start just that identifier.

    Given a deployment of 2 entries and 2 targets
    When a caller prepares a generation of 20 tokens
    And the first entry claims the key for it and dies
    And the call with the key is repeated 2 times at the last entry
    Then each repeat has the same whole answer of 20 tokens
    And each repeat has the identifier that was claimed
    And the engines started it once

  Scenario: two entries race with one key
  The caller's tool gave up waiting too early and sent its call again, so two
  entries have it at the same moment, and each finds the key free.

    Given a deployment of 2 entries and 2 targets
    And the log answers after 300 ms
    When calls with 4 keys come through all entries at the same moment
    Then the calls with one key have the same whole answer
    And the engines started 4 in all

  Scenario Outline: the log's answer to a claim is lost
  The log takes the claim, and its answer is lost on the way. The entry can't
  know whether it holds the key, so it reads on; the caller notices nothing.

    Given a deployment of 2 entries and 2 targets
    And the log loses its replies by <way>
    When the call with the key is repeated 2 times at the first entry
    And the log answers again
    And the call with the key is repeated 1 time at the last entry
    Then each repeat has the same whole answer of 20 tokens
    And the engines started it once

    Examples:
      | way    |
      | drop   |
      | status |

  Scenario: the log is out
  A key can't be looked up while the log is out. The caller is told at once to
  come back, and never that it did not run: an earlier try may have. The same
  key runs when the log is back; calls without a key go on meanwhile.

    Given a deployment of 1 entry and 2 targets
    And the log is out and the entry knows
    When the call with the key is repeated 2 times at the first entry
    Then each repeat is told outcome_unknown and when to come back
    And the engines started nothing
    When a caller asks once for a billed report of 20 tokens
    Then the report is whole with 20 tokens
    When the log is back and the entry knows
    And the call with the key is repeated 2 times at the first entry
    Then each repeat has the same whole answer of 20 tokens
    And the engines started 2 in all

  Scenario: the log goes out while a keyed report runs
  The caller repeats its call while the log is out and its report runs. It
  must not be told that it did not run.

    Given a deployment of 2 entries and 2 targets
    And the engines make no steps
    When a caller sends a report of 20 tokens with a key in the background
    And the engines have started it
    And the log is out for all
    And the call with the key is repeated 1 time at the last entry
    Then each repeat is told outcome_unknown and when to come back
    And the engines started it once

  Scenario: the agent dies after the start
  The agent's process is lost with a keyed report running. Whether it ran
  can't be told any more: each repeat is told just that, and no other target
  gets it.

    Given a deployment of 2 entries and 2 targets
    And the engines make no steps
    When a caller sends a report of 20 tokens with a key in the background
    And the engines have started it
    And the agent that runs it is killed
    Then the caller is told outcome_unknown
    When the agent is started again
    And the call with the key is repeated 2 times at the last entry
    Then each repeat is told outcome_unknown
    And the engines started it once

  Scenario: a key comes with another request
  A program numbers its reports from one again after a restart. It must not
  get the answer of an older report for its new one.

    Given a deployment of 2 entries and 2 targets
    When the call with the key is repeated 1 time at the first entry
    And the key comes with another request at the last entry
    Then each repeat is told invalid_request
    And the engines started it once

  Scenario: two customers use the same key
  Customers number their reports as they like. Each gets its own report, and
  none learns of the other's.

    Given a deployment of 1 entry and 2 targets
    When the call with the key is repeated 1 time at the first entry
    And another customer sends the same call with the same key
    Then each repeat has a whole answer of its own
    And the engines started 2 in all

  Scenario: the claim has expired in the log
  The log keeps records for a limited time. A caller comes back with its key
  after that: what it named can't be told, and it must not run again.

    Given a deployment of 2 entries and 2 targets
    When the call with the key is repeated 1 time at the first entry
    And the claim of the key expires
    And the call with the key is repeated 2 times at the last entry
    Then each repeat is told outcome_unknown
    And the engines started it once

  Scenario: a key that was refused stays refused
  All targets are full and the caller is told that its report did not run. A
  duplicate of the call arrives late; it must not run now.

    Given a deployment of 2 entries and 2 targets
    And the engines refuse starts
    When the call with the key is repeated 1 time at the first entry
    Then each repeat is told not_run
    When the engines take starts again
    And the call with the key is repeated 2 times at the last entry
    Then each repeat is told not_run
    And the engines started nothing

  Scenario: an entry that leaves can't say not run of a key
  The caller's report runs through another entry when its repeat comes to one
  that is leaving, which knows nothing of it.

    Given a deployment of 2 entries and 1 target
    When a caller reads a stream of 150 tokens
    And after 10 tokens the first entry is told to stop
    And the call with the key is repeated 1 time at the first entry
    Then each repeat is told outcome_unknown and when to come back

  Scenario: an entry that is not ready can't say not run of a key
  An entry starts while the log is out and has no configuration yet. The
  caller's report may run through another entry.

    Given a deployment of 1 entry and 1 target
    And the log is out and the entry knows
    And the first entry is replaced by one that can't get ready
    When the call with the key is repeated 1 time at the last entry
    Then each repeat is told outcome_unknown and when to come back

  Scenario: a plain service's call is repeated with its key
  A technician's tool books a part, loses its entry and sends the call again.
  The part is booked once.

    Given a deployment of 2 entries and 2 plain targets
    When a plain call with a key is sent 2 times through all entries
    Then each repeat has the plain service's one answer
    And the call ran once at the plain services

  Scenario: a plain call's key comes with another body
  Two bookings get the same key by mistake. The second is refused, not
  answered with the first.

    Given a deployment of 1 entry and 1 plain target
    When a plain call with a key is sent 1 time through all entries
    And the key comes with another plain call
    Then each repeat is told invalid_request
    And the call ran once at the plain services

  Scenario: the first call's caller goes while its repeat waits
  A caller's tool gives up waiting in a queue and sends its call again through
  another entry, which has it by its key. Then the first connection ends. The
  report must not be withdrawn, since somebody still waits for it.

    Given a deployment of 2 entries and 1 target that runs one call at a time
    And a relay before the first entry
    And the engines make no steps
    When a caller asks for a repeatable report of 20 tokens in the background
    And the engines have started it
    And a report with a key waits through the relay
    And its repeat waits at the last entry
    And the relay before the entry gets the fault {"cut": true}
    And the first entry has closed the call
    And the engines make steps again
    Then the repeat has a whole answer of 20 tokens
