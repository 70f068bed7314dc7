Feature: An entry that can't serve what comes to it
  Such an entry takes no callers for a while, so that they go to other entries
  before their requests are read.

  Scenario Outline: a scheduler that is busy for a time
    Guards against callers that are taken by an entry without time for them,
    or that a busy one turns away.
    Given an entry that is idle, to which 4 connections come a second
    When its scheduler is busy for <share> of the time
    And 60 connections come a second, for 2 s
    Then it <is> ready
    And it <takes> the last connection

    Examples:
      | share | is     | takes  |
      | 0.5   | is     | serves |
      | 0.9   | is     | serves |
      | 0.96  | is not | closes |
      | 1.0   | is not | closes |

  Scenario Outline: all entries are short of time
    Guards against callers that are turned away by one entry after the other.
    Where no more connections come than before, others are as busy.
    Given an entry that is idle, to which <usual> connections come a second
    When its scheduler is busy for 1.0 of the time
    And <now> connections come a second, for 2 s
    Then it is not ready
    And it <takes> the last connection

    Examples:
      | usual | now | takes  |
      | 4     | 4   | serves |
      | 4     | 8   | serves |
      | 30    | 60  | serves |
      | 30    | 240 | closes |

  Scenario: an entry that has just started is preferred
    Guards against an entry that turns callers away as all start anew.
    Given an entry that is idle
    When its scheduler is busy for 1.0 of the time
    And 60 connections come a second, for 2 s
    Then it is not ready
    And it serves the last connection

  Scenario: the balancer has noticed that an entry is saturated
    Guards against callers that no entry takes. Connections that come although
    the entry is not ready have nowhere better to go.
    Given an entry that is idle, to which 4 connections come a second
    When its scheduler is busy for 1.0 of the time
    And 60 connections come a second, for 3 s
    Then it is not ready
    And it serves the last connection

  Scenario Outline: an entry has time again
    Guards against an entry that is not ready for ever, or that is ready
    before the balancer has seen that it was not.
    Given an entry that is saturated
    When <ms> ms have passed
    And its scheduler is busy for <share> of the time
    Then it <is> ready

    Examples:
      | ms   | share | is     |
      | 500  | 0.2   | is not |
      | 3000 | 0.9   | is not |
      | 3000 | 0.7   | is     |
      | 9000 | 1.0   | is not |

  Scenario: an entry is saturated again and again
    Guards against a balancer that prefers an entry, sends it more than it can
    serve, and takes it out again every few seconds.
    Given an entry that was saturated until now
    When it is saturated 6 more times, each 1000 ms after it is ready
    Then it was not ready for 3, 6, 12, 12, 12, 12, 12 seconds

  Scenario: an entry that was calm for a while
    Given an entry that was saturated until now
    When it is saturated 1 more time, each 11000 ms after it is ready
    Then it was not ready for 3, 3 seconds

  Scenario: callers connect to a saturated entry
    Guards against a request that is read, so that its caller may not send it
    elsewhere.
    Given a server that takes no new connections
    When 5 callers send a request
    Then no request is read
    And all callers see a connection that ends without an answer
    And the balancer still gets an answer
