Feature: An entry that was told to stop accepts only requests that it can finish

  Scenario Outline: requests that arrive while an entry leaves
    The load balancer still sends new connections to an entry that was told to
    stop six seconds ago. Guards against a generation that is accepted and then
    cut as the process ends, and that its caller may not send again.
    Given a <kind> of about <tokens> tokens
    And target a answers: <words>
    When it arrives <left> ms before the entry ends
    Then the caller is refused with status <status>

    Examples:
      | kind       | tokens | words           | left | status |
      | generation | 900    | events 1-2 then end | 7000 | 503 |
      | generation | 20     | events 1-2 then end | 7000 | 200 |
      | generation | 20     | events 1-2 then end | 500  | 503 |
      | plain call | 0      | body            | 2000 | 200    |
      | plain call | 0      | body            | 300  | 503    |

  Scenario Outline: a log line explains the decision of a leaving entry
    An answer breaks off as its entry ends. Without the estimate and the time
    that was left, a wrong estimate cannot be told from a slow engine.
    Given a generation of about <tokens> tokens
    And target a answers: events 1-2 then end
    When it arrives 7000 ms before the entry ends
    Then the log line of the decision says that the request was <decision>
    And that about <tokens> of <most> tokens were expected, with 7000 ms left

    Examples:
      | tokens | most | decision  |
      | 20     | 200  | taken     |
      | 900    | 900  | not taken |

  Scenario Outline: callers that underestimate while an entry leaves
    Guards against a generation that is accepted after SIGTERM because of its
    caller's estimate, turns out longer, and is cut as the process ends.
    Given generations of at most <most> tokens with estimates off by seed <seed>
    When they arrive while an entry leaves, which takes 7500 ms
    Then each one is refused as not run, or answered whole

    Examples:
      | most | seed |
      | 2000 | 1    |
      | 2000 | 2    |
      | 300  | 3    |
      | 300  | 4    |
      | 40   | 5    |

  Scenario Outline: the first event comes late at a leaving entry
    Guards against a stream that begins with too little time for the rest, and
    is cut as the entry ends.
    Given a generation of about 20 tokens
    And target a answers: events 1-<events> then end, late before 1
    When it arrives 4500 ms before the entry ends, which then ends
    Then the caller has <answer>

    Examples:
      | events | answer                                     |
      | 9      | the whole answer                           |
      | 90     | a final answer that the entry ends, only   |

  Scenario Outline: the target of a leaving entry is slow
    Events come later than their route allows, as on a busy machine. Guards
    against a stream that is taken after SIGTERM, begins in time, and is cut as
    the entry ends.
    Given a generation of about 20 tokens
    And target a answers: events 1-9 then end, late before each
    When it arrives <left> ms before the entry ends, which then ends
    Then the caller has <answer>

    Examples:
      | left | answer                                   |
      | 7500 | the whole answer                         |
      | 5000 | a final answer that the entry ends, only |

  Scenario: a route without objectives
    Guards against a request that is expected to end at once because its route
    states no objective.
    Given a plain call of a route without objectives
    And target a answers: mute
    When it arrives 300 ms before the entry ends
    Then the caller is refused with status 503

  Scenario Outline: refused callers are told when entries will serve them
    Guards against callers that two leaving entries refuse one after the other,
    although they would have been served at a later time.
    Given a data centre of which <leaving> have been leaving for 500 ms of 8000
    And one more has been leaving for 4000 ms
    And <staying> stay, and <far> stay in other data centres
    When a caller is refused whose request takes <needs> ms
    Then the caller comes back after <after> to <before> ms

    Examples: as many stay as leave
      | leaving | staying | far | needs | after | before |
      | 1       | 3       | 0   | 20000 | 100   | 300    |
      | 1       | 3       | 5   | 20000 | 100   | 300    |

    Examples: fewer stay
      | leaving | staying | far | needs | after | before |
      | 2       | 2       | 0   | 20000 | 6000  | 9000   |
      | 4       | 0       | 0   | 20000 | 9500  | 14250  |

    Examples: only entries in other data centres stay, which the balancer has to notice
      | leaving | staying | far | needs | after | before |
      | 4       | 0       | 3   | 20000 | 2100  | 3150   |

    Examples: they end late enough for the request
      | leaving | staying | far | needs | after | before |
      | 4       | 0       | 0   | 5000  | 100   | 300    |
      | 1       | 0       | 0   | 5000  | 100   | 300    |
