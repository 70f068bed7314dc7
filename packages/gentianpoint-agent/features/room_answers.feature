Feature: Agents grant and refuse claims of room by datagram

  Scenario: a claim is granted
    Given an agent whose engine has room for 1 generation
    When an entry claims room for a
    Then the replies are granted
    And they name engine-1 and a state with 27000 tokens in all

  Scenario: two entries claim the last room
    Guards against entries that both send by the same report.
    Given an agent whose engine has room for 1 generation
    When two entries claim room for a and for b at the same moment
    Then the replies are granted and refused in any order

  Scenario: the reply is lost and the claim repeated
    Guards against a lost datagram that takes room twice.
    Given an agent whose engine has room for 1 generation
    When an entry claims room for a
    And an entry claims room for a
    Then the replies are granted, granted

  Scenario: room is given back
    Given an agent whose engine has room for 1 generation
    When an entry claims room for a
    And the room of a is given back
    And an entry claims room for b
    Then the replies are granted, granted

  Scenario Outline: any datagram may arrive
    Guards against a datagram with huge numbers that ends the agent.
    Given an agent whose engine <engine>
    When claims with numbers of 2000 bits arrive
    And the room of huge is given back
    And an entry claims room for a
    Then all five get replies and the last is granted

    Examples:
      | engine                    |
      | has room for 1 generation |
      | reports no memory         |

  Scenario: an engine that has not answered yet
    Guards against room that is granted at an engine nobody has seen.
    Given an agent whose engine is silent
    When an entry claims room for a
    Then there are no replies

  Scenario: an engine that stops answering
    Guards against a reply that comes after the entry has stopped waiting.
    Given a feed whose engine takes 200 ms to report
    When a claim comes 30 ms after the last report
    Then it is granted after 10 ms

  Scenario: hundreds of claims are refused
    Guards against a log that is full of refusals, and against one without.
    Given a feed whose engine has no room
    When 400 claims come in 4 s
    Then 2 to 5 lines room_refused count 400 claims for memory

  Scenario: leases expire
    Given a feed whose engine runs nothing
    When 1 claims come in 1 s
    And the feed runs on for 2 s
    Then a line room_leases_expired counts 1

  Scenario: a generation moves away
    Guards against lengths that are cut off by moves and count as ends.
    Given a feed whose engine runs a generation after 50 events
    When its entry asks for a turn to move it, and it is no longer listed
    Then no end of a generation was counted
