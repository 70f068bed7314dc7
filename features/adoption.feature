Feature: A restarted agent takes up what its engine still runs
  Agents are restarted and replaced every day while their engines go on. A
  later run of a target's agent reads on the streams that an earlier one
  started, and starts nothing; a long report that is billed is neither lost
  nor run twice.

  Scenario: the agent is restarted under a stream
  The agent's process is lost in the middle of an answer and started again.
  The caller sees a pause; then its answer goes on where it stopped.

    Given a deployment of 1 entry and 1 target
    When a caller reads a stream of 600 tokens
    And after 10 tokens the agent is killed and started again
    Then the stream is whole with 600 tokens
    And the engines started it once
    And the agent adopted it

  Scenario: the agent is restarted with many streams under way
  All streams of a target lose their agent at once. Each caller gets the rest
  of its own answer, none another's words.

    Given a deployment of 2 entries and 1 target
    When 12 callers read streams of different lengths
    And the agent is killed and started again
    Then each stream is whole and its own
    And the engines started 12 in all

  Scenario: the stream ends while no agent runs
  The engine brings the last token between the end of one run of the agent and
  the start of the next. It lists the stream no more, but still has it.

    Given a deployment of 1 entry and 1 target
    When a caller reads a stream of 100 tokens
    And after 10 tokens the agent is killed
    And the engine has ended it
    And the agent is started anew
    Then the stream is whole with 100 tokens
    And the engines started it once

  Scenario Outline: a billed report is fetched through another entry
  A caller has prepared and started its report and lost its entry, and the
  agent that holds the report is restarted. The caller <asks> through another
  entry and gets the one report that runs.

    Given a deployment of 2 entries and 1 target
    And the engines make no steps
    When a caller prepares a generation of 20 tokens
    And starts it in the background at the first entry
    And the engines have started it
    And the agent that runs it is killed
    And the first entry dies
    And the agent is started anew
    And the engines make steps again
    And the caller <asks> at the last entry
    Then the report is whole with 20 tokens
    And the engines started it once
    And the agent adopted it

    Examples:
      | asks             |
      | starts it again  |
      | fetches it       |

  Scenario: another customer can't touch an adopted generation
  The restarted agent never saw the request, and its owner has not come back
  yet. Another customer who has learned the identifier is told what it would
  be told of one that never was, and the report goes on.

    Given a deployment of 2 entries and 1 target
    And the engines make no steps
    When a caller prepares a generation of 20 tokens
    And starts it in the background at the first entry
    And the engines have started it
    And the agent that runs it is killed
    And the first entry dies
    And the agent is started anew
    And another customer reads, cancels and starts it at the last entry
    And the engines make steps again
    And the caller fetches it at the last entry
    Then the other was told unknown_generation, unknown_generation, outcome_unknown
    And the report is whole with 20 tokens
    And the engines started it once

  Scenario: an adopted generation is cancelled
  A customer cancels its stream after the agent was restarted. The reader is
  told so explicitly; the engine works on it no more.

    Given a deployment of 2 entries and 1 target
    When a caller reads a stream of 4000 tokens
    And after 10 tokens the agent is killed and started again
    And after 20 tokens the customer cancels it at the last entry
    Then the stream ends with the error cancelled
    And the engines run nothing any more

  Scenario: an earlier run cancels what was adopted
  An agent that was cut off from all entries, and replaced, takes its streams
  for orphans and cancels them at the engine. The caller, who did not cancel,
  is told that its answer is incomplete.

    Given a deployment of 1 entry and 1 target
    When a caller reads a stream of 4000 tokens
    And after 10 tokens the agent is killed and started again
    And after 20 tokens an earlier run cancels it
    Then the stream ends with the error incomplete

  Scenario: the engine was restarted too
  The host is lost with engine and agent and both come back empty. The caller
  gets an error event that says incomplete, and nothing is run again.

    Given a deployment of 1 entry and 1 target
    When a caller reads a stream of 600 tokens
    And after 10 tokens agent and engine are killed and started again
    Then the stream ends with the error incomplete
    And the engines started nothing

  Scenario: the engine was restarted too before the first token
  The host is lost with a billed report that has brought nothing. Whether it
  ran can't be told: the caller is told just that, however often it asks.

    Given a deployment of 2 entries and 1 target
    And the engines make no steps
    When a caller prepares a generation of 20 tokens
    And starts it in the background at the first entry
    And the engines have started it
    And agent and engine are killed and started again
    And starts it 2 times through the last entries
    Then each start is told outcome_unknown
    And the engines started nothing

  Scenario: a paused agent wakes beside its successor
  An agent stands still for so long that another one takes its place and its
  streams. Then it wakes up and finds streams that nobody reads from it. It
  must not cancel them: the caller gets them from the other.

    Given a deployment whose agents give orphans up at once
    When a caller reads a stream of 600 tokens
    And after 10 tokens the agent is frozen and another takes its place
    And the older agent wakes up and finds its connection lost
    Then the stream is whole with 600 tokens
    And the engines started it once

  Scenario: a paused agent has the start in its socket
  A start waits unread at an agent that stands still. Another agent takes its
  place and knows nothing of it, so the outcome is unknown. Whatever the older
  one does when it wakes up, the report never runs twice.

    Given a deployment whose agents give orphans up at once
    When a caller prepares a generation of 20 tokens
    And the agents stand still
    And starts it as one that may run once at the first entry
    And another agent takes the place of the first
    Then the caller is told outcome_unknown
    When the older agent wakes up and finds its connection lost
    And starts it 2 times through the last entries
    Then each start gives the report of 20 tokens or says outcome_unknown
    And the engines started it once at most

  Scenario Outline: the engine goes on with other software
  Under a stream the engine is replaced by one of another version that knows
  its identifier, and <what>. Guards against an answer whose halves were
  written by two versions.

    Given a deployment of 1 entry and 1 target
    And the engine has the software v1
    When a caller reads a stream of 600 tokens
    And after 10 tokens the engine has the software <second>, and <what>
    Then the stream ends with the error incomplete

    Examples:
      | second  | what                                  |
      | v2      | its connections break off             |
      | no name | its connections break off             |
      | v2      | the agent is killed and started again |

  Scenario: the engine goes on with the same software
  Guards against streams that are given up at each restart of an agent.

    Given a deployment of 1 entry and 1 target
    And the engine has the software v1
    When a caller reads a stream of 600 tokens
    And after 10 tokens the engine has the software v1, and the agent is killed and started again
    Then the stream is whole with 600 tokens
