Feature: Connections from entries

  Scenario: the answer to an offer can't be sent
    The connection breaks between an offer's arrival and the answer to it.
    The entry offers the attempt again and is attached to what the agent
    holds. If the agent held the call without running it, the caller would
    wait forever.
    Given an agent with a connection from entry run r1
    When the connection breaks at its next "admitted"
    And an offer of attempt a1 arrives on connection 1
    Then the target ran 1 call

  Scenario Outline: an entry connects again while its old connection is open
    A connection fell silent with an offer on it that the agent has not read.
    The entry connected again and may have told the caller since that the
    offer did not run, so the agent must not read the offer now.
    Given an agent with a connection from entry run r1
    When another connection from entry run <run> is opened
    And an offer of attempt a1 arrives on connection 1
    Then the target ran <count> call

    Examples:
      | run | count |
      | r1  | 0     |
      | r2  | 1     |

  Scenario Outline: an invalid message ends only its connection
    A faulty entry, or one of another implementation, sends a message that is
    well formed but invalid. An error that left the connection's task would
    end the agent, and all entries would lose their calls.
    Given an agent with a connection from entry run r1
    When another connection from entry run r2 is opened
    And connection 1 receives <message>
    And an offer of attempt a1 arrives on connection 2
    Then connection 1 was closed for an invalid message
    And the target ran 1 call

    Examples:
      | message                                |
      | a resource that is not JSON            |
      | an offer whose header is not a pair    |
      | an offer with a deadline of 400 digits |
      | an offer whose weight is not finite    |
      | a resume after item -1                 |
      | a message that only agents send        |
      | a second hello                         |

  Scenario: two offers use the same call number
    Given an agent with a connection from entry run r1
    When an offer of attempt a1 arrives on connection 1
    And an offer of attempt a2 arrives on connection 1
    Then the target ran 1 call

  Scenario: a resume uses the call number of a running call
    A second reader with the same number would leave the first one subscribed
    forever, and the agent would never finish draining when it is stopped.
    Given an agent with a connection from entry run r1
    When an offer of attempt a1 arrives on connection 1
    And a resume with the call number of that offer arrives on connection 1
    Then connection 1 was closed for an invalid message

  Scenario Outline: an identifier is offered while the agent accepts no work
    The agent is leaving, or its engine is loading, when a prepared report is
    started again. An identifier that the agent does not hold may have run; a
    caller told that it did not run would have it run twice.
    Given an agent with a connection from entry run r1
    When the agent <state>
    And an offer of an identifier that <origin> arrives on connection 1
    Then the offer is refused with <code>
    And the target ran 0 call

    Examples:
      | state                   | origin                    | code            |
      | is leaving              | an earlier run issued     | outcome_unknown |
      | is leaving              | this run held and dropped | outcome_unknown |
      | is leaving              | is prepared here          | not_run         |
      | has suspended admission | an earlier run issued     | outcome_unknown |
      | has suspended admission | this run held and dropped | outcome_unknown |
      | has suspended admission | is prepared here          | not_run         |

  Scenario: an identifier is refused and offered again through another entry
    Admission is suspended at the first offer, so the caller is told that it
    did not run and may have had another one run in its place. The second
    offer comes once admission has been resumed and must not run it.
    Given an agent with a connection from entry run r1
    When another connection from entry run r2 is opened
    And the agent has suspended admission
    And an offer of an identifier that is prepared here arrives on connection 1
    And the agent has resumed admission
    And the same offer arrives on connection 2
    Then both offers are refused with not_run
    And the target ran 0 call

  Scenario: the data centre of the agent is evacuated
    Guards against an entry that can't read the log and goes on to offer calls
    to an evacuated data centre: the agent has heard it from another entry.
    Given an agent with a connection from entry run r1
    When another connection from entry run r2 is opened
    And connection 1 tells of an evacuation as of offset 5
    And connection 2 tells of no evacuation as of offset 3
    And an offer of attempt a1 arrives on connection 2
    Then the offer on connection 2 is refused with not_run
    And the target ran 0 call
    And its reports say that it is evacuated

  Scenario: the data centre of the agent is taken back
    Given an agent with a connection from entry run r1
    When connection 1 tells of an evacuation as of offset 5
    And connection 1 tells of no evacuation as of offset 6
    And an offer of attempt a1 arrives on connection 1
    Then the target ran 1 call

  Scenario: calls that wait as the data centre is evacuated
    Guards against calls that start at an evacuated target minutes later, when
    those before them have ended. They are refused, so that entries can have
    them run elsewhere. What runs is finished.
    Given an agent with a connection from entry run r1
    And its target runs one call at a time, which does not end
    When an offer of attempt a1 arrives on connection 1
    And another connection from entry run r2 is opened
    And an offer of attempt a2 arrives on connection 2
    And connection 1 tells of an evacuation as of offset 5
    Then the offer on connection 2 is refused with not_run
    And the target ran 1 call

  Scenario: random messages with valid types
    Then random messages raise nothing but a connection's error

  Scenario Outline: an entry of another version connects
    Hosts are upgraded one by one. An entry of a later version that still
    supports the agent's version is welcomed with that version. If it were
    rejected, its callers would find no target until the last agent is
    upgraded.
    Given an agent with a connection from entry run r1
    When an entry that supports versions <oldest> to <newest> connects
    Then the agent answers <answer>

    Examples:
      | oldest | newest | answer  |
      | 1      | 1      | welcome |
      | 1      | 7      | welcome |
      | 2      | 7      | reject  |
      | 0      | 0      | reject  |

  Scenario: an entry of a later version does not say its oldest version
    The first protocol version had no field for the oldest version, so an
    entry that sends only one version supports only that one.
    Given an agent with a connection from entry run r1
    When an entry that supports only version 7 connects
    Then the agent answers reject

  Scenario: a prepared identifier is refused while admission is suspended
    The target is loading a version when a prepared report is started, so the
    caller is told that it did not run and has another one run. A duplicate of
    the start arrives after the load and must not run.
    Given an agent with a connection from entry run r1
    When an identifier is prepared on connection 1
    And admission is suspended
    And the prepared identifier is offered on connection 1 as call 2
    And admission is resumed
    And the prepared identifier is offered on connection 1 as call 3
    Then the offers were refused with not_run, not_run
    And the target ran 0 call

  Scenario: an unknown identifier is offered while admission is suspended
    A report ran, and the agent has dropped it since. Its start arrives again
    while the target is loading a version; the agent can't tell whether it ran.
    Given an agent with a connection from entry run r1
    When admission is suspended
    And the identifier gone is offered on connection 1 as call 2
    Then the offers were refused with outcome_unknown
