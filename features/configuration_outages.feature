Feature: The log is out, for long
  The platform's log can be down or slow for a long time. Callers must notice
  nothing, operators must learn at once what became of a write, and entries
  that start or have lost sight of the log take the configuration from
  others.

  Scenario: traffic goes on, and a write during the outage is settled later
    An operator writes while the log answers with errors only. The entry
    can't tell whether the write took effect, says pending, and the operator
    sends the same change again when the log is back.

    Given 2 entries and 1 target that serve while the log goes out
    When a caller asks for a whole generation of 4 tokens
    Then the answer counts 4 completion tokens
    When an operator declares the customer ana with the change late
    Then the change late is answered pending with a time to come back
    And the change late is pending when asked for
    When the log comes back
    And the change late is sent again through every entry
    Then every answer tells the outcome of the change late
    And all entries have the same resources

  Scenario: a write that can't have taken effect is refused at once
    The log's process is gone: no connection, so no record. The operator is
    told that nothing was done and when to come back.

    Given 2 entries and 1 target that serve while the log goes out
    When the log's process is killed
    And an operator declares the customer ana with the change none
    Then the operator is told not_run with a time to come back

  Scenario: an entry that starts during the outage takes a peer's state
    A host is replaced while the log is out. Its callers are served by what
    the other entries have folded.

    Given 2 entries and 1 target that serve while the log goes out
    When another entry starts
    Then the last entry took its state from a peer
    And all entries have the same resources
    And a caller is served through the last entry

  Scenario: an entry that starts alone during the outage isn't ready
    Nobody has the configuration. Serving an empty one would tell every
    caller that its key is unknown.

    Given a log that is out before the first entry starts
    When another entry starts that can't get ready
    Then its health check fails with the log can't be read
    And a caller is told not_run with a time to come back
    When the log comes back
    Then the last entry gets ready

  Scenario Outline: a peer's state that can't be trusted is refused
    A peer answers with damaged bytes, or with an older state than its
    header says. The starting entry stays unready rather than serve it.

    Given a log that is out before the first entry starts
    And a peer that gives <state>
    When another entry starts that can't get ready
    Then the state is refused since <reason>
    And its health check fails with the log can't be read

    Examples:
      | state                 | reason                           |
      | a wrong digest        | the digest is wrong              |
      | a wrong offset        | the offset is not                |
      | a state cut off       | cut off                          |
      | bytes that are none   | incorrect header                 |

  Scenario: an older peer never takes an entry back
    Given 1 entry that writes a snapshot every 1000 records
    And a peer that gives an older state
    When the log goes out
    Then the state is refused since is not above
    And all customers are still known

  Scenario: an entry that alone has lost the log follows the others
    Something between one entry and the log lets nothing through any more.
    A customer whose key was revoked must not go on through that entry.

    Given 2 entries of which the last reaches the log by a relay
    When the relay lets nothing through
    And an operator revokes the key of a customer through the first entry
    Then the key is refused everywhere
    And the last entry took its state from a peer

  Scenario: a paused entry never takes an agent back
    An entry is paused, others go on and the agent gets a newer service. The
    entry wakes with the log out and everyone gone, and tells the agent what
    it last knew.

    Given 2 entries and 1 target that serve while the log is fine
    When the last entry is frozen
    And the agent has given the frozen entry up
    And an operator changes the service and the agent has it
    And the log goes out and the first entry is killed
    And the last entry is thawed
    Then the agent answers the paused entry with the newer offset
    And the agent never had an older service again

  Scenario: a revoked key is refused everywhere
    Given 2 entries and 1 target that serve while the log is fine
    When an operator revokes the key of a customer through the first entry
    Then the key is refused everywhere

  Scenario: the log comes back with nothing in it
    The log service was replaced and lost its records. What was accepted
    stays in force, and operators are told why their writes stay pending.

    Given 1 entry that writes a snapshot every 1000 records
    When the log's process is killed
    And an empty log starts in its place
    Then the first entry says that the log is behind
    And all customers are still known
    When an operator declares the customer ana with the change lost
    Then the change lost is answered pending with a time to come back
