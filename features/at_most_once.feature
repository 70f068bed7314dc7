Feature: Not repeatable runs at most once, and not run is true
  A rewind report is billed: it must never run twice, whatever is lost between
  caller, entry, agent and engine. Starts are counted at the engines and the
  plain services, the only witnesses that can't be fooled.

  Scenario Outline: the engine's answer to the start is lost
  The engine takes the start, then its answer is lost on the way. The agent
  can't know whether it runs, so it looks for it by its identifier instead of
  starting again; the caller notices nothing.

    Given a relayed deployment of 1 entry and 2 targets
    And the engines lose the next start reply by <way>
    When a caller asks once for a billed report of 20 tokens
    Then the report is whole with 20 tokens
    And the engines started it once

    Examples:
      | way    |
      | drop   |
      | status |

  Scenario Outline: the link is lost after the start was asked for
  The connection between entry and agent breaks while the engine has not
  brought a token yet. The entry asks its home again with the same identifier;
  the agent attaches it to what runs.

    Given a relayed deployment of 1 entry and 2 targets
    And the engines make no steps
    When a caller asks once for a billed report of 20 tokens in the background
    And the engines have started it
    And all relays before agents get the fault <fault>
    And the entry has a new connection
    And the engines make steps again
    Then the report is whole with 20 tokens
    And the engines started it once

    Examples:
      | fault                                            |
      | {"cut": true}                                    |
      | {"silence": "existing"}                          |
      | {"silence": "existing", "direction": "backward"} |

  Scenario: the agent dies after the start
  The agent's process is lost with a billed report running. Whether it ran
  can't be told any more: the caller is told just that, and no other target
  gets it.

    Given a deployment of 1 entry and 2 targets
    And the engines make no steps
    When a caller asks once for a billed report of 20 tokens in the background
    And the engines have started it
    And the agent that runs it is killed
    Then the caller is told outcome_unknown
    And the engines started it once

  Scenario: the entry dies and the caller retries through another
  The caller prepared its report, started it and lost its entry. It starts the
  same identifier at another entry and gets the one report that runs.

    Given a deployment of 2 entries and 2 targets
    And the engines make no steps
    When a caller prepares a generation of 20 tokens
    And starts it in the background at the first entry
    And the engines have started it
    And the first entry dies
    And the engines make steps again
    And starts it 1 times through the last entries
    Then each start gives the same answer
    And the engines started it once

  Scenario: the agent is restarted and the caller retries
  The agent that holds a prepared report dies after the start and comes back
  with an empty memory. It must not take the identifier for a new one: it finds
  the report at its engine, and each start gets that one.

    Given a deployment of 2 entries and 1 target
    And the engines make no steps
    When a caller prepares a generation of 20 tokens
    And starts it in the background at the first entry
    And the engines have started it
    And the agent that runs it is killed
    And the agent is started again
    And the engines make steps again
    And starts it 2 times through the last entries
    Then each start gives the same answer
    And the engines started it once

  Scenario: a frozen agent wakes past the deadline to start
  The agent's process stands still with a start in its hands. The caller has
  had an answer meanwhile; the agent must not start it when it wakes up.

    Given a deployment of 1 entry and 1 target
    And the agents are frozen
    When a caller asks once for a billed report of 20 tokens within 600 ms
    And the agents go on
    Then the caller got a final answer
    And the engines started nothing that was said not to have run

  Scenario: an engine that refuses says so truly
  Engines that are full refuse starts. Nothing ran: the caller is told so at
  once, with the time after which it may come back.

    Given a deployment of 1 entry and 2 targets
    And the engines refuse starts
    When a caller asks once for a billed report of 20 tokens
    Then the caller is told not_run
    And it is told when to come back
    And the engines started nothing

  Scenario: repeatable work is done elsewhere when its agent dies
  Nothing was delivered yet when the agent died, and the request may be
  repeated. The caller gets a whole answer from another target.

    Given a deployment of 1 entry and 2 targets
    And the engines make no steps
    When a caller asks for a repeatable report of 20 tokens in the background
    And the engines have started it
    And the agent that runs it is killed
    And the engines make steps again
    Then the report is whole with 20 tokens

  Scenario Outline: a reply of a plain service is lost
  A call to the shop-floor app takes effect, then the connection on which its
  reply was to come is reset. A call that may not be repeated is reported as
  unknown and runs once; a read is tried elsewhere.

    Given a relayed deployment of 1 entry and 2 plain targets
    And the plain services answer late
    When a caller sends <method> to the plain service in the background
    And a plain service has run it
    And the plain services answer soon
    And the relay before that service gets the fault {"cut": true}
    Then the status is <status>
    And the call ran <times> at the plain services

    Examples:
      | method | status | times |
      | POST   | 502    | once  |
      | PATCH  | 502    | once  |
      | GET    | 200    | twice |

  Scenario: a reply of a plain service breaks off
  The service's reply breaks off in the middle of its body. The head was
  passed on already; the caller sees the body break off too, never a short one
  that looks whole.

    Given a deployment of 1 entry and 2 plain targets
    And the plain services break off the next reply
    When a caller sends POST to the plain service in the background
    Then the caller sees the reply break off
    And the call ran once at the plain services

  Scenario: a refused identifier never starts later
  The engine refused a prepared report and the caller was told that it did not
  run. A duplicate of the start arrives late; it must not run now.

    Given a deployment of 1 entry and 1 target
    And the engines refuse starts
    When a caller prepares a generation of 20 tokens
    And starts it 1 times through all entries
    And the engines take starts again
    And starts it 1 times through all entries
    Then each start is told not_run
    And the engines started nothing
