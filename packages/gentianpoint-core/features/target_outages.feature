Feature: Targets whose connections break off
  A target resets each connection for a while, and its engine looks idle.

  Scenario Outline: an outage while all entries send
    Guards against a request lost by each entry at a target that looks idle.
    Given <count> entries that hear of each other after 60 ms
    When a target is out for 1.7 s and 40 requests a second would go there
    Then at most <lost> requests are lost
    And within 1 s after the outage all entries send there again

    Examples:
      | count | lost |
      | 3     | 9    |
      | 25    | 9    |
      | 380   | 9    |

  Scenario: an entry whose own host is at fault
    Guards against targets that nobody uses since one host lost its link.
    Given 25 entries that hear of each other after 60 ms
    When connections of one entry to 5 targets break off at once
    Then at most 2 targets are left out by the others

  Scenario: nobody has a request to try a target with
    Guards against a target that is left out for good.
    Given 25 entries that hear of each other after 60 ms
    When a connection to a target breaks off once
    Then it gets nothing for 0.5 s
    And after 5 s all entries send there again

  Scenario: news that arrives late and twice
    Guards against an outage that begins anew with each copy of old news.
    Given 3 entries that hear of each other after 60 ms
    When a target fails and answers again
    Then news of the failure that comes once more changes nothing

  Scenario: an entry that does not know the others yet
    Guards against a target that an entry never tries as it has no turn.
    Given an entry that knows no members
    When a connection to a target breaks off once
    Then it is tried once a turn after the hold-off
