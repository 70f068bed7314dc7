Feature: An identifier is started once, by the run that gave it out
  Callers start a prepared identifier again and again until they have an
  answer, through any entry, and duplicates of their requests arrive late.
  A billed report that runs twice, or one that runs after its customer was
  told that it did not, would be found on the bill.

  Scenario: a second start attaches to the first
    Given a table with a prepared identifier of rebobinados
    When rebobinados starts it 3 times
    Then 1 start was new and all got the same generation

  Scenario Outline: identifiers that are not startable
  Something happened to the identifier before its start comes, or comes again.

    Given a table with a prepared identifier of rebobinados
    When <event>
    And <customer> starts it 1 times
    Then the start is refused with <code>

    Examples:
      | event                                  | customer    | code            |
      | nothing happens                        | another     | outcome_unknown |
      | 601 seconds go by                      | rebobinados | outcome_unknown |
      | the agent is run again                 | rebobinados | outcome_unknown |
      | it was started and did not run         | rebobinados | not_run         |
      | it was cancelled before any start      | rebobinados | not_run         |
      | it was started, ended and was forgotten | rebobinados | outcome_unknown |

  Scenario: a refused identifier stays refused
    Given a table with a prepared identifier of rebobinados
    When it was started and did not run
    And rebobinados starts it 3 times
    Then the start is refused with not_run
    And nothing runs

  Scenario Outline: what an earlier run gave out
  The agent was run again. What its target still has is read on, by its
  customer only; what this run gave out itself is never looked for there, or a
  prepared identifier would be taken for one that has started.

    Given a table with a prepared identifier of rebobinados
    When <event>
    And the identifier <change>
    Then the table <outcome> it for <customer>

    Examples:
      | event                  | change                  | customer    | outcome       |
      | the agent is run again | stays as it is          | rebobinados | adopts        |
      | the agent is run again | stays as it is          | another     | doesn't adopt |
      | the agent is run again | is of another number    | rebobinados | doesn't adopt |
      | the agent is run again | is of another target    | rebobinados | doesn't adopt |
      | the agent is run again | is no identifier at all | rebobinados | doesn't adopt |
      | nothing happens        | stays as it is          | rebobinados | doesn't adopt |

  Scenario: what the target lists is its customer's only
    Given a table with a prepared identifier of rebobinados
    When the agent is run again
    And the target lists the identifier
    Then another can't find it
    And rebobinados can find it
    And another can't find it

  Scenario: cancelled before the target has shown that it holds it
  An earlier run that is paused may still start the identifier. Its customer
  must not be told that it is cancelled, and find it on the bill.

    Given a table with a prepared identifier of rebobinados
    When the agent is run again
    And rebobinados asks for it
    Then a cancel by rebobinados is in vain
    When the target has shown that it holds it
    Then a cancel by rebobinados takes effect

  Scenario: what the target does not know is looked for again
  An earlier run that was paused started it late, after its customer had asked
  for it here in vain. The customer asks once more.

    Given a table with a prepared identifier of rebobinados
    When the agent is run again
    And rebobinados asks for it
    And the target does not know it
    Then the table adopts it for rebobinados

  Scenario: an attempt that is offered again attaches
    Given an empty table
    When the attempt a-1 of rebobinados is created
    Then the attempt a-1 of rebobinados is known
    And the attempt a-1 of another is not known
    And the attempt a-2 of rebobinados is not known

  Scenario: too many prepared identifiers are refused
    Given an empty table
    When 10000 identifiers are prepared
    Then one more is refused with not_run and a time to come back
    And after 601 seconds one more is given out

  Scenario: ended generations are kept within bounds
    Given a table that keeps 1000 bytes
    When 20 generations of 100 bytes end
    Then at most 10 can still be read
    And the newest can be read
