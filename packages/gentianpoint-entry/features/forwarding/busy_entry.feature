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
