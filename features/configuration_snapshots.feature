Feature: The configuration outlives the records of the log
  The log keeps records for a limited time. An entry that starts, or wakes,
  after some have expired has no way to fold them; had it folded on behind
  the hole, its callers would meet customers and services that everyone else
  had seen removed.

  Scenario: an entry that starts late begins at a snapshot
    Given 1 entry that writes a snapshot every 4 records
    When an operator declares 8 customers through the first entry
    And a snapshot of them is written and the records before it expire
    And another entry starts
    Then all entries have the same resources
    And the last entry took its state from a snapshot

  Scenario: a frozen entry wakes after the records have expired
    Given 2 entries that write a snapshot every 4 records
    When the last entry is frozen
    And an operator declares 8 customers through the first entry
    And a snapshot of them is written and the records before it expire
    And the first entry is killed
    And the last entry is thawed
    Then the last entry has the resources that the first one had
    And the last entry noticed that records had expired

  Scenario: a peer helps when the snapshot lost a part
    Given 2 entries that write a snapshot every 4 records
    When the last entry is frozen
    And an operator declares 8 customers through the first entry
    And a snapshot of them is written and the records before it expire
    And the parts of all snapshots expire
    And the last entry is thawed
    Then all entries have the same resources
    And the last entry took its state from a peer

  Scenario: without a snapshot and a peer an entry says why it isn't ready
    Given 1 entry that writes a snapshot every 1000 records
    When an operator declares 3 customers through the first entry
    And all records of the configuration expire
    And the first entry is killed
    And another entry starts that can't get ready
    Then its health check fails with expired
    And a caller is told not_run with a time to come back
