Feature: Room at an engine
  Entries claim room for a generation at the engine's agent before they send
  it. Unless its book counts all that the engine will hold, and counts it
  once, the engine preempts, or stands half empty while requests wait.

  Scenario: more long generations than the memory holds
    Guards against a book that grants more than fits, and against one that
    refuses although there is room.
    Given long and short generations that come in bursts, by seeds 1 to 8
    When they are played with and without claims
    Then claims leave at most a third of the preemptions of each seed
    And at the end 95% or more as many generations are complete over all seeds

  Scenario: two entries claim the last room
    Guards against entries that all send by the same report.
    Given an engine that runs 7 generations of 3000 tokens
    When claims a, b come at the same moment
    Then only a is granted

  Scenario: a claim that is refused opens later
    Guards against an opening that is past, or later than the room.
    Given a book that has seen 40 generations of 100 events
    And an engine that runs 8 generations with 80 events
    When claims a come at the same moment
    Then a is refused and room is expected in 100 to 400 ms

  Scenario: a datagram is lost and the claim is repeated
    Guards against a request that holds room twice.
    Given an engine that runs 7 generations of 3000 tokens
    When claims a, a, a come at the same moment
    Then all are granted with 1 lease

  Scenario: a claim is repeated once its request runs
    Given an engine that runs 6 generations of 3000 tokens
    When claims run-0 come at the same moment
    Then all are granted with 0 leases

  Scenario: room that is given back
    Given an engine that runs 7 generations of 3000 tokens
    When claims a come at the same moment
    And the room of a is given back
    And claims b come at the same moment
    Then b is granted

  Scenario: a lease is settled when its request runs
    Guards against a generation that counts as lease and as running.
    Given an engine that runs 0 generations of 3000 tokens
    When claims a, b come at the same moment
    And the engine reports that a runs
    Then there are 1 leases and a peak of 6000 to 9500 tokens

  Scenario Outline: an entry ends that has claimed room
    Guards against room that stays lost, and against leases that end while
    their requests wait at the engine.
    Given an engine that runs 0 generations of 3000 tokens
    When claims a, b, c come at the same moment
    And after <later> s the engine reports <waiting> waiting
    Then there are <leases> leases and a peak of <least> to <most> tokens

    Examples:
      | later | waiting | leases | least | most  |
      | 0.9   | 0       | 3      | 9000  | 15000 |
      | 1.1   | 0       | 0      | 0     | 0     |
      | 1.1   | 2       | 2      | 6000  | 10000 |
      | 1.1   | 4       | 3      | 12000 | 20000 |

  Scenario: the agent restarts with leases given
    Guards against an agent that forgets what waits at its engine.
    Given an engine that runs 4 generations of 3000 tokens
    And 4 requests of 3000 tokens wait there
    When claims a come at the same moment
    Then a is refused

  Scenario: another engine starts at the address
    Guards against leases, lengths and reserved room of an engine that ended.
    Given a book that has seen 40 generations of 100 events
    When claims a, b, c come at the same moment
    And another start of the engine reports
    Then there are 0 leases and a peak of 0 to 0 tokens
    And nothing is reserved and no length is known

  Scenario: an engine that leaves
    Guards against generations that are sent to an engine about to end.
    Given an engine that is leaving
    When claims a come at the same moment
    Then a is refused

  Scenario: copies of other engines' generations
    Given an engine that runs 4 generations of 3000 tokens
    And 12000 tokens of copies are there
    When claims a come at the same moment
    Then a is refused

  Scenario: all slots are taken
    Given an engine that runs 24 generations of 100 tokens
    When claims a come at the same moment
    Then a is refused

  Scenario: a prompt that is larger than the memory
    Guards against a request that no engine can serve and all must wait for.
    Given an engine that runs 0 generations of 3000 tokens
    When a claim for 27000 tokens comes
    Then it is refused as too_large

  Scenario: a large prompt at an engine without requests
    Guards against a request that fits but is refused for ever.
    Given an engine that runs 0 generations of 3000 tokens
    When a claim for 26990 tokens comes
    Then it is granted

  Scenario: lengths are learned, and forgotten when they change
    Given a book that has seen 200 generations of 180 events
    Then the mean length is 600 to 900 tokens
    When it sees 500 generations of 10 events
    Then the mean length is 30 to 120 tokens

  Scenario Outline: generations that are cut off
    Guards against a cut-off generation that counts as a short one, so that
    too many are granted.
    Given a book that has seen 40 generations of 100 events
    When 40 generations are no longer listed after 20 events, since <why>
    Then the mean length is 350 to 700 tokens

    Examples:
      | why                 |
      | they moved          |
      | the engine leaves   |
      | they were preempted |
      | reports stopped     |

  Scenario: generations that end between two reports
    Guards against short generations that are never counted, so that all are
    expected to be long.
    Given a book that has seen 40 generations of 100 events
    When 200 leases expire without a report that lists their requests
    Then the mean length is 4 to 100 tokens

  Scenario: room reserved for urgent generations
    Guards against a burst of long generations that leaves no room for the
    urgent ones after it, and against room that stays reserved.
    Given an engine that runs 7 generations of 3000 tokens
    When urgent claims for 2500 tokens come 4 times a second for 3 s
    Then 3000 to 6750 tokens are reserved against others
    And nothing is reserved against urgent ones
    And a claim is refused as reserved unless it is urgent
    And after 5 s nothing is reserved

  Scenario: leases without end
    Guards against a faulty sender that fills the agent's memory.
    Given an engine that runs 0 generations of 3000 tokens
    When 5000 claims for 1 token and any number of slots come
    Then there are at most 256 leases
