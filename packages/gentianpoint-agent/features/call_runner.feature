Feature: A start is checked right before it is made
  An agent's process is paused with a start in its hands, or the call waits
  long for its turn. When it goes on, the entry has long given the call up
  and perhaps had it run elsewhere; the caller of a billed report would see
  it run twice.

  Scenario Outline: a call whose turn comes at some time
    Given a call that must start within 1000 ms
    When its turn comes after <turn> ms
    Then the target was called <times> times
    And the call ended with <end>

    Examples:
      | turn | times | end     |
      | 0    | 1     | stop    |
      | 900  | 1     | stop    |
      | 1001 | 0     | not_run |
      | 9000 | 0     | not_run |

  Scenario: a withdrawn call never starts
    Given a call that must start within 1000 ms
    When it is withdrawn while it waits
    And its turn comes after 10 ms
    Then the target was called 0 times
    And the call ended with not_run

  Scenario: a call is withdrawn in the moment its turn comes
  The turn and the withdrawal come in the same moment, and which task goes on
  first is chance. A customer who cancelled must not find the work billed.

    Given a call that must start within 1000 ms
    When its turn comes and it is withdrawn in the same moment
    Then the target was called 0 times
    And the call ended with not_run

  Scenario: a call that runs can't be withdrawn
    Given a call that must start within 1000 ms
    When its turn comes after 0 ms and the target takes long
    And it is withdrawn while it runs
    And the target answers
    Then the target was called 1 times
    And the call ended with stop
