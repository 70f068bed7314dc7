Feature: An entry that is short of processor time
  A load balancer may send most new connections to one small entry. What the
  entry spends on callers that have left, or on each event of a stream by
  itself, is missing for callers that still wait.

  Scenario: many callers connect while tasks run late
    Guards against callers that are read so late that they have given up,
    since one connection is accepted for each turn of the scheduler.
    When 60 callers send a request at once
    Then all of them are served within 30 turns of the scheduler

  Scenario: callers leave before they are read
    Guards against work for callers that have left, for which those that wait
    are read too late as well.
    When 20 callers send a request and leave, and another one waits
    Then 1 request is served

  Scenario Outline: several events have come since the last read
    Guards against a write for each event, for which a busy entry has no time.
    Given a stream of <events> events that come <together> at a time
    When its caller reads it
    Then the caller gets all of it, by at most <writes> writes

    Examples:
      | events | together | writes |
      | 20     | 5        | 4      |
      | 20     | 1        | 20     |

  Scenario Outline: a stream at an entry that is busy
    Guards against streams that take all the time of a busy entry, against
    pauses that its route does not allow, and against waits at an idle one.
    Given a stream of 100 events that come 1 at a time, every 30 ms
    When its caller reads it from an entry that is busy for <share> of the time
    Then the caller gets all of it, by at most <writes> writes
    And its first event is not held back
    And no pause is longer than <pause> ms

    Examples:
      | share | writes | pause |
      | 0.3   | 100    | 31    |
      | 0.7   | 95     | 70    |
      | 1.0   | 50     | 100   |

  Scenario: a stream whose target leaves, at an entry that is busy
    Guards against a handover that comes too late, since its stream is left
    unread.
    Given a stream of 100 events that come 1 at a time, every 30 ms
    And its target leaves
    When its caller reads it from an entry that is busy for 1.0 of the time
    Then no pause is longer than 31 ms
