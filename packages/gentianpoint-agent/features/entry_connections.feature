Feature: Connections of entries

  Scenario: the answer to an offer can't be sent
    The connection breaks between an offer's arrival and the answer to it.
    The entry offers the attempt again, which attaches to what the agent
    holds; a caller would wait for ever for a call that was held but not run.
    Given an agent with a connection of the run r1
    When the connection breaks at its next "admitted"
    And an offer of the attempt a1 comes on connection 1
    Then the target ran 1 call

  Scenario Outline: an entry connects again while its old connection lives
    A connection fell silent with an offer on it that the agent has not
    read; the entry connected again. The entry may have told the caller since
    that the offer did not run.
    Given an agent with a connection of the run r1
    When another connection of the run <run> is greeted
    And an offer of the attempt a1 comes on connection 1
    Then the target ran <count> call

    Examples:
      | run | count |
      | r1  | 0     |
      | r2  | 1     |

  Scenario Outline: a message that breaks the rules ends its connection only
    A faulty entry, or one of another make, sends a message that is well
    formed but can't be obeyed. If the error left the connection, the agent
    would end and all entries would lose their calls.
    Given an agent with a connection of the run r1
    When another connection of the run r2 is greeted
    And connection 1 brings <message>
    And an offer of the attempt a1 comes on connection 2
    Then connection 1 has ended as refused
    And the target ran 1 call

    Examples:
      | message                                |
      | a resource that is no JSON             |
      | an offer whose header is no pair       |
      | an offer with a deadline of 400 digits |
      | an offer of no finite weight           |
      | a resume after item -1                 |
      | a message that only agents send        |
      | a second hello                         |

  Scenario: a call number is used by two offers
    Given an agent with a connection of the run r1
    When an offer of the attempt a1 comes on connection 1
    And an offer of the attempt a2 comes on connection 1
    Then the target ran 1 call

  Scenario: a call number in use is given to a resume
    Two readers under one number would leave the first one reading for ever;
    the agent would never be drained when it is told to stop.
    Given an agent with a connection of the run r1
    When an offer of the attempt a1 comes on connection 1
    And connection 1 is given a resume under the number of that offer
    Then connection 1 has ended as refused

  Scenario Outline: an agent that takes nothing gets an identifier
    The agent is told to leave, or its engine loads, when a prepared report is
    started again. What the agent does not hold any more may have run; a
    caller that is told otherwise has it run twice.
    Given an agent with a connection of the run r1
    When the agent <state>
    And an offer of an identifier that <origin> comes on connection 1
    Then the offer is refused with <code>
    And the target ran 0 call

    Examples:
      | state      | origin                       | code            |
      | is leaving | an earlier run gave out      | outcome_unknown |
      | is leaving | this run held and forgot     | outcome_unknown |
      | is leaving | waits here to be started     | not_run         |
      | is on hold | an earlier run gave out      | outcome_unknown |
      | is on hold | this run held and forgot     | outcome_unknown |
      | is on hold | waits here to be started     | not_run         |

  Scenario: an identifier is refused on hold and offered again
    Its caller was told that it did not run, and may have had another run in
    its place, when a second offer of it comes through another entry.
    Given an agent with a connection of the run r1
    When another connection of the run r2 is greeted
    And the agent is on hold
    And an offer of an identifier that waits here to be started comes on connection 1
    And the agent is on hold no more
    And the same offer comes on connection 2
    Then both offers are refused with not_run
    And the target ran 0 call

  Scenario: any messages of the right types
    Then whatever messages come, only a connection's error leaves it

  Scenario Outline: an entry of another version connects
    Hosts are replaced one by one. An entry of a later version that still
    speaks ours is greeted in ours; were it refused, its callers would find
    no target until the last agent is replaced.
    Given an agent with a connection of the run r1
    When an entry that speaks versions <oldest> to <newest> connects
    Then the agent answers <answer>

    Examples:
      | oldest | newest | answer  |
      | 1      | 1      | welcome |
      | 1      | 7      | welcome |
      | 2      | 7      | reject  |
      | 0      | 0      | reject  |

  Scenario: an entry of a later version that names no oldest one
    The first version named only one; what names only one speaks only that.
    Given an agent with a connection of the run r1
    When an entry that speaks only version 7 connects
    Then the agent answers reject

  Scenario: a prepared identifier is refused while the agent takes no work
    The target loads a version when the start of a prepared report comes, so
    its caller is told that it did not run, and has another one run. A
    duplicate of the start comes when the load is done: it must not run now.
    Given an agent with a connection of the run r1
    When an identifier is prepared on connection 1
    And the agent takes no work
    And the prepared identifier is offered on connection 1 under the number 2
    And the agent takes work again
    And the prepared identifier is offered on connection 1 under the number 3
    Then the offers were refused with not_run, not_run
    And the target ran 0 call

  Scenario: an identifier that is not held comes while the agent takes no work
    A report ran, and the agent has forgotten it since. Its start comes again
    while the target loads a version: whether it ran can't be told here.
    Given an agent with a connection of the run r1
    When the agent takes no work
    And the identifier gone is offered on connection 1 under the number 2
    Then the offers were refused with outcome_unknown
