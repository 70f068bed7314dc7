Feature: A request under which targets end is kept from the others
  A request may end each target that begins to run it, and its caller sends it
  again, at any entry. Each time, all that runs beside it breaks off.

  Scenario Outline: a request ends every target that runs it
    Guards against a request that ends all targets of a service, one after the
    other, since each attempt is a new request to each entry.
    Given <count> entries and 12 targets
    When a <kind> that ends each target is sent twice every 5 seconds, <waves> times
    Then from 3 seconds after the third end on, at most 3 more reach a target

    Examples:
      | count | kind                          | waves |
      | 3     | repeatable plain call         | 6     |
      | 3     | plain call that may run once  | 6     |
      | 3     | resumable stream              | 6     |
      | 3     | stream that may run once      | 6     |
      | 3     | stream that may run once, with a backup | 6 |
      | 68    | resumable stream              | 6     |

  Scenario Outline: targets behind a front that goes on listening
    A sidecar or a forwarded port takes connections while its target is down.
    Guards against a request that ends target after target, since each of them
    seems to go on. The list names another start of each within seconds.
    Given 3 entries and 12 targets behind fronts that go on listening
    When a <kind> that ends each target is sent twice every 5 seconds, <waves> times
    Then from 3 seconds after the third end on, at most 3 more reach a target

    Examples:
      | kind                     | waves |
      | repeatable plain call    | 6     |
      | stream that may run once | 6     |

  Scenario: an entry starts after targets have ended
    Guards against an entry that lets the request end further targets, since
    it was not there as the others learned of it.
    Given 3 entries and 12 targets
    When a repeatable plain call that ends each target is sent twice every 5 seconds, 2 times
    And an entry starts, and gets the request 3 seconds later
    Then it refuses the request with status 503

  Scenario: what a caller of such a request is told
    The request has not run in an attempt that is refused. Guards against a
    caller that waits for nothing, or takes a run of its request for none.
    Given 3 entries and 12 targets
    When a plain call that may run once that ends each target is sent twice every 5 seconds, 3 times
    Then the first 3 attempts get status 502
    And the others get status 503 within 10 ms, and are told when to come back

  Scenario: a request that is sent often runs at all targets as they are killed
    The power of a whole rack fails. Guards against refusing what most callers
    ask for, since it was there each time that a target ended.
    Given 3 entries and 12 targets
    When 24 callers send the same repeatable plain call for 10 seconds, and all targets are killed twice meanwhile
    Then the request is answered at the end

  Scenario Outline: connections that break off without the end of a target
    Guards against refusing a request that no target has ended under.
    Given 3 entries and 12 targets
    When the connection of a plain call that may run once breaks off 4 times, as <cause>
    Then the request is answered at the end

    Examples:
      | cause                                 |
      | the entry is cut off from all targets |
      | the target closes it and goes on      |
      | the target ends after its notice      |

  Scenario: a target answers a request that other targets ended under
    Two targets are killed while they run it, a third answers it, and one more
    is killed later. Guards against adding up what has nothing to do with each
    other.
    Given 3 entries and 12 targets
    When a stream that may run once meets 2 kills, an answer after more than a minute, and 2 kills after another
    Then the request is answered at the end

  Scenario Outline: a request is there as silent targets are killed
    The most frequent request of a service runs at all its targets, which have
    not answered it lately. Guards against refusing a kind of request for ten
    minutes at all entries, although it never ended a target.
    Given <count> entries and 3 targets behind fronts that go on listening
    When 24 callers send the same <kind>, and silent targets are killed <kills> times, <every> seconds apart
    Then from 12 seconds after the last kill on, 0.8 of the requests are served

    Examples:
      | count | kind                         | kills | every |
      | 3     | repeatable plain call        | 1     | 5     |
      | 3     | repeatable plain call        | 3     | 2     |
      | 3     | repeatable plain call        | 3     | 5     |
      | 3     | repeatable plain call        | 3     | 10    |
      | 3     | plain call that may run once | 3     | 5     |
      | 3     | resumable stream             | 3     | 5     |
      | 29    | repeatable plain call        | 3     | 5     |

  Scenario: a release ends all targets for minutes
    Guards against refusing the requests of a service for hours after a release
    that ended its targets was taken back.
    Given 3 entries and 12 targets
    When callers send 3 plain calls while targets end under each request for 15 minutes
    Then 10 minutes later all of them are answered

  Scenario Outline: many callers send a request that ends targets
    Guards against entries that let such a request run once each, to see
    whether it is harmless by now.
    Given <count> entries and 12 targets
    When 24 callers send a repeatable plain call that ends each target for 60 seconds
    Then from 3 seconds after the third end on, at most 3 more reach a target

    Examples:
      | count |
      | 3     |
      | 29    |

  Scenario: a refused caller comes back when the request is tried
    Guards against a caller that is sent away for minutes, while what it asks
    for is served again within seconds.
    Given 3 entries and 12 targets
    When a repeatable plain call that ends each target is sent twice every 5 seconds, 1 times
    Then a caller is told to come back within 7 seconds
