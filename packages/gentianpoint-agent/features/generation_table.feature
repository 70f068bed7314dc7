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
