Feature: A generation runs on at its target until its backup has taken it over
  A target that leaves goes on with its generations, for many seconds at times.
  The backup may refuse late, or never answer.

  Scenario Outline: the backup does not take the generation over
    Guards against a stream that is cut since its run was closed before the
    backup had refused it.
    Given a generation that may run once, whose backup <reaction> after <seconds> s
    When it is served, and its target gets notice after event 20
    Then the caller has the whole report, each event once
    And no connection is left open

    Examples:
      | reaction           | seconds |
      | answers 503 not run | 0.02   |
      | answers 503 not run | 0.4    |
      | answers 503 not run | 2.5    |
      | answers 421         | 0.4    |
      | answers 429 not run | 0.4    |
      | answers 500         | 0.4    |
      | answers 503         | 0.4    |
      | is reset            | 0.4    |
      | takes over          | inf    |

  Scenario Outline: the backup takes the generation over
    Both targets work on it until the entry knows. Guards against two that go
    on with one report, and against events that come twice or not at all.
    Given a generation that may run once, whose backup takes over after <seconds> s
    When it is served, and its target gets notice after event 20
    Then the caller has the whole report, each event once
    And the run of its target was closed within 20 ms of the backup's answer
    And no connection is left open

    Examples:
      | seconds |
      | 0.01    |
      | 0.24    |
      | 0.4     |
      | 1.3     |

  Scenario Outline: the target ends while its backup has not answered
    Guards against a generation that is given up although its backup goes on.
    Given a generation that may run once, whose backup <reaction> after <seconds> s
    And its target ends after event <last>
    When it is served, and its target gets notice after event 20
    Then the caller has <events>
    And no connection is left open

    Examples:
      | reaction            | seconds | last | events                            |
      | takes over          | 1.5     | 38   | the whole report, each event once |
      | answers 503 not run | 1.5     | 38   | events 1 to 38, and then a cut    |
      | is reset            | 1.5     | 38   | events 1 to 38, and then a cut    |
      | takes over          | inf     | 38   | events 1 to 38, and then a cut    |

  Scenario: the entry ends while both runs are open
    Guards against a target that works on for nobody.
    Given a generation that may run once, whose backup takes over after inf s
    When it is served for 4.2 s, and its target gets notice after event 20
    Then no connection is left open

  Scenario: a caller that reads slowly
    The entry waits for its caller as the backup takes over. Guards against two
    targets that work on one generation meanwhile.
    Given a generation that may run once, whose backup takes over after 0.4 s
    And a caller that reads nothing for 2 s after event 22
    When it is served, and its target gets notice after event 20
    Then the run of its target was closed within 20 ms of the backup's answer
    And the caller has the whole report, each event once

  Scenario Outline: the target works on after its connection was closed
    Guards against two targets that work on one generation, as the one before
    does not drop a request whose connection closes.
    Given a generation that may run once, whose backup takes over after <seconds> s
    And its target works on without a connection, and <answers> first
    When it is served, and its target gets notice after event 20
    Then the caller has the whole report, each event once
    And its target was told to stop within 400 ms
    And the copy that the stop has made was freed
    And no connection is left open

    Examples:
      | seconds | answers         |
      | 0.01    | stops when told |
      | 1.3     | stops when told |
      | 0.4     | is busy         |
      | 0.4     | is not reached  |
      | 0.4     | has no room     |

  Scenario: the connection to the target breaks off on the way
    Guards against a target that works on beside the backup since only the
    entry has seen the break.
    Given a generation that may run once, whose backup takes over after 0.02 s
    And its target ends after event 38
    And its target works on without a connection, and stops when told first
    When it is served, and its target gets notice after event 100
    Then the caller has the whole report, each event once
    And its target was told to stop within 400 ms

  Scenario: a stream that may be taken up is run again
    Guards against a target that works on beside the one at which a stream was
    taken up after a break.
    Given a generation that may run again, whose target works on
    And its target ends after event 38
    When it is served, and its target gets notice after event 100
    Then the caller has the whole report, each event once
    And its target was told to stop within 400 ms

  Scenario: the target drops the request
    Guards against a stop that is repeated, or copies memory, although the
    target has noticed that its connection was closed.
    Given a generation that may run once, whose backup takes over after 0.4 s
    And its target drops a request whose connection closes
    When it is served, and its target gets notice after event 20
    Then the caller has the whole report, each event once
    And its target was asked once, and had dropped the request

  Scenario Outline: the backup has said that it leaves before the target ends
    Guards against a request that reaches a target after the time in which it
    may be sent any, and against a generation that is lost within that time.
    Given a generation that may run once, whose backup takes over after 0.02 s
    And its target ends after event 38
    And its backup may be sent requests for 1.8 s after a notice
    When it is served, and its backup gives notice <by> after event <number>
    Then the caller has <events>
    And no connection is left open

    Examples:
      | by         | number | events                            |
      | its report | 30     | the whole report, each event once |
      | its report | 10     | events 1 to 38, and then a cut    |
      | its entry  | 34     | the whole report, each event once |
      | its entry  | 10     | events 1 to 38, and then a cut    |
      | an answer  | 34     | events 1 to 38, and then a cut    |
