Feature: An identifier is started once, by the run that issued it
  Callers start a prepared identifier again and again, through any entry,
  until they have an answer, and duplicates of their requests arrive late. A
  customer would be billed for a report that runs twice, or that runs after
  the customer was told that it did not.

  Scenario: a second start attaches to the first
    Given a table with a prepared identifier of rebobinados
    When rebobinados starts it 3 times
    Then 1 start was new and all got the same generation

  Scenario Outline: identifiers that can't be started
  Something happened to the identifier before it is started, or started again.

    Given a table with a prepared identifier of rebobinados
    When <event>
    And <customer> starts it 1 times
    Then the start is refused with <code>

    Examples:
      | event                                 | customer    | code            |
      | nothing happens                       | another     | outcome_unknown |
      | the clock advances by 601 seconds     | rebobinados | outcome_unknown |
      | the agent restarts                    | rebobinados | outcome_unknown |
      | it was started and did not run        | rebobinados | not_run         |
      | it was cancelled before any start     | rebobinados | not_run         |
      | it was started, ended and was dropped | rebobinados | outcome_unknown |

  Scenario: a refused identifier stays refused
    Given a table with a prepared identifier of rebobinados
    When it was started and did not run
    And rebobinados starts it 3 times
    Then the start is refused with not_run
    And nothing runs

  Scenario Outline: identifiers issued by an earlier run
  The agent restarted. What its target still holds is adopted, but only for
  its customer. An identifier of the present run is never looked up at the
  target, since a prepared identifier would then be taken for a started one.

    Given a table with a prepared identifier of rebobinados
    When <event>
    And the identifier <change>
    Then the table <outcome> it for <customer>

    Examples:
      | event              | change             | customer    | outcome       |
      | the agent restarts | is unchanged       | rebobinados | adopts        |
      | the agent restarts | is unchanged       | another     | doesn't adopt |
      | the agent restarts | has another number | rebobinados | doesn't adopt |
      | the agent restarts | has another target | rebobinados | doesn't adopt |
      | the agent restarts | is malformed       | rebobinados | doesn't adopt |
      | nothing happens    | is unchanged       | rebobinados | doesn't adopt |

  Scenario: a listed generation is found only by its customer
    Given a table with a prepared identifier of rebobinados
    When the agent restarts
    And the target lists the identifier
    Then another can't find it
    And rebobinados can find it
    And another can't find it

  Scenario: an adopted generation is cancelled before the target confirms it
  An earlier run that is paused may still start the identifier. A customer who
  was told that it is cancelled would then be billed for it.

    Given a table with a prepared identifier of rebobinados
    When the agent restarts
    And rebobinados requests it
    Then a cancel by rebobinados is not confirmed
    When the target has shown that it holds it
    Then a cancel by rebobinados is confirmed

  Scenario: an identifier that the target does not know is looked up again
  An earlier run that was paused started the generation only after its
  customer had requested it from the present run. The customer requests it
  once more.

    Given a table with a prepared identifier of rebobinados
    When the agent restarts
    And rebobinados requests it
    And the target does not know it
    Then the table adopts it for rebobinados

  Scenario: an attempt that is offered again attaches to its generation
    Given an empty table
    When the attempt a-1 of rebobinados is created
    Then the attempt a-1 of rebobinados is known
    And the attempt a-1 of another is not known
    And the attempt a-2 of rebobinados is not known

  Scenario: too many prepared identifiers are refused
    Given an empty table
    When 10000 identifiers are prepared
    Then one more is refused with not_run and a retry delay
    And after 601 seconds one more can be prepared

  Scenario: the memory of ended generations is limited
    Given a table that keeps 1000 bytes
    When 20 generations of 100 bytes end
    Then at most 10 can still be read
    And the newest can be read
