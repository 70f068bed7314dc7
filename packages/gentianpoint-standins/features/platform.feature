Feature: Stand-ins of the platform
  The log service has outages, forgets records, and loses answers after the
  change has taken effect; the host list lags; the weight store gives little
  at a time. The system is only tried if the stand-ins do the same.

  Scenario: records come back in order
    Given a log with rate=500
    When records a b c are appended
    Then reading from 1 gives a b c, first 1 and next 4
    And reading from 3 gives c, first 1 and next 4

  Scenario Outline: the reply to an append is lost
    The operator's change is in the log, but the answer never comes: the
    writer can't tell, and has to read on.
    Given a log with rate=500
    And the log's faults are {"lose_replies": 1, "lose_by": "<by>"}
    When records a are appended
    Then the last append failed and may have taken effect
    And reading from 1 gives a, first 1 and next 2

    Examples:
      | by     |
      | status |
      | drop   |

  Scenario: an outage
    Given a log with rate=500
    And the log's faults are {"out": true}
    When records a are appended
    Then the last append failed and may have taken effect
    And reading from 1 fails
    When the log's faults become {"out": false}
    Then reading from 1 gives nothing, first 1 and next 1

  Scenario: too many appends at once
    Given a log with rate=2
    When records a b c are appended
    Then the last append failed and took no effect

  Scenario: old records expire
    A process that was away for long finds that the records it needs are
    gone, and must not believe that there were none.
    Given a log with rate=500
    When records a b c are appended
    And the log's faults become {"expire_before": {"s": 3}}
    Then reading from 1 gives c, first 3 and next 4

  Scenario Outline: records expire by number and by age
    Given a log with <options>
    When records a b c are appended
    Then reading from 1 gives <kept>, first <first> and next 4

    Examples:
      | options       | kept    | first |
      | max_records=2 | b c     | 2     |
      | max_age_ms=0  | nothing | 4     |

  Scenario: a reader who waits gets the next record
    Given a log with rate=500
    When a reader waits at 1 and record a is appended
    Then the waiting reader got a

  Scenario: the host list lags
    A host left a while ago and readers still see it, or came and is not
    seen yet.
    Given a host list with host h1
    When the list's faults become {"lag_ms": 600000}
    Then the list shows no hosts
    When the list's faults become {"lag_ms": 0}
    Then the list shows host h1

  Scenario: the weight store's size is told and sent
    Given a weight store with size=100000
    Then the store tells 100000 bytes and sends as many

  Scenario: two readings reach the weight store before either is sent a byte
    Several empty engines ask at the same moment. A store that counts readers
    only from their first byte lets in more than its limit, and a test of how
    many read at once then blames the agents: it saw most_readers 3 where 2
    are allowed, with 25 refusals and 4 readings.
    Given a weight store that lets 1 reader in at a time
    When 2 readings are let in or refused before a byte is sent
    Then 1 is let in and 1 is refused
    And 1 more is let in when the first was sent whole
    And 1 more is let in when one that was let in never begins

  Scenario: a plain call is counted by its tag
    A caller repeats a call that may run once only; the tag shows it.
    Given a plain service
    When a call tagged t1 is sent 2 times
    Then its answer is the call, and the tag t1 ran 2 times

  Scenario: a plain call's reply is lost
    The call has run, but its answer breaks off.
    Given a plain service
    And the plain service loses 1 reply
    When a call tagged t1 is sent 1 times
    Then the call failed, and the tag t1 ran 1 times
