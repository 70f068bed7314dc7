Feature: Entries tell each other what their customers use
  Requests that wait for room are ordered by what their customers use through
  all entries. Entries gossip that while requests wait.

  Scenario Outline: a customer that sends ten times its share everywhere
    Guards against a customer that is small at each entry and so goes before
    others at all of them.
    Given <count> entries whose customers have sent for 30 s, one of them ten times as much as each other
    When requests begin to wait at all of them
    Then from <seconds> s to 8 s later each knows each customer's usage within 20%

    Examples:
      | count | seconds |
      | 3     | 1       |
      | 25    | 2       |

  Scenario: customers whose generations end
    Guards against a customer that waits as if its generations still ran.
    Given 25 entries whose customers have sent for 30 s, one of them ten times as much as each other
    When requests begin to wait at all of them
    And 4 s later the generations of the large customer end
    Then from 6 s to 12 s later each knows each customer's usage within 20%

  Scenario: an entry that is lost
    Guards against a customer that waits for what it used through an entry
    that is gone, as the others tell each other of it.
    Given 25 entries whose customers have sent for 30 s, one of them ten times as much as each other
    When requests begin to wait at all of them
    And 4 s later an entry is lost
    Then from 10 s to 12 s later no entry counts it

  Scenario Outline: one direction of a link is cut
    Guards against an entry that counts what it can't hear any more, and
    against one that loses what another way still brings.
    Given <count> entries whose customers have sent for 30 s, one of them ten times as much as each other
    When requests begin to wait at all of them
    And 3 s later what the first sends to the second is lost
    Then from 9 s to 12 s later the second counts <others> others
    And the first counts <all> others

    Examples:
      | count | others | all |
      | 2     | 0      | 1   |
      | 3     | 2      | 2   |

  Scenario: nobody waits
    Guards against messages in deployments that never use them, and with room
    to spare.
    Given 25 entries whose customers have sent for 30 s, one of them ten times as much as each other
    Then no entry has told usage in 30 s
    When requests wait for 5 s and then no more
    Then from 10 s after their end on nothing is told

  Scenario Outline: the size of messages
    Guards against messages that take the time that entries have for their
    callers. Each member tells of as many customers as it may.
    Given what <count> members tell of 8 customers each
    Then a message with all of it has at most <most> bytes
    And a message without has at most 300 bytes

    Examples:
      | count | most  |
      | 25    | 6000  |
      | 380   | 91000 |

  Scenario Outline: what counts as usage
    Guards against a customer that waits for generations that have ended, and
    against requests to plain services that count as generations.
    Given a request of customer a to a <kind> service that the target <words>
    When it is sent
    Then customer a is counted with <tokens> tokens while it runs
    And with none after its end

    Examples:
      | kind       | words            | tokens |
      | generating | serves           | 150    |
      | generating | refuses          | 150    |
      | generating | loses            | 150    |
      | plain      | serves           | 0      |
