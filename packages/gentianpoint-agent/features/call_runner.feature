Feature: The start deadline is checked right before a call starts
  An agent's process is paused while a call is about to start, or the call
  waits long for admission. By the time it starts, the entry has given the
  call up and perhaps had it run elsewhere, and the customer of a billed
  report would pay for two runs.

  Scenario Outline: a call is admitted before or after its start deadline
    Given a call that must start within 1000 ms
    When it is admitted after <delay> ms
    Then the target was called <times> times
    And the call ended with <end>

    Examples:
      | delay | times | end     |
      | 0     | 1     | stop    |
      | 900   | 1     | stop    |
      | 1001  | 0     | not_run |
      | 9000  | 0     | not_run |

  Scenario: a withdrawn call never starts
    Given a call that must start within 1000 ms
    When it is withdrawn while it waits
    And it is admitted after 10 ms
    Then the target was called 0 times
    And the call ended with not_run

  Scenario: a call is withdrawn at the moment of its admission
  Admission and withdrawal come at the same moment, and which task runs first
  is random. A customer who cancelled must not be billed.

    Given a call that must start within 1000 ms
    When it is admitted and withdrawn at the same moment
    Then the target was called 0 times
    And the call ended with not_run

  Scenario: a running call can't be withdrawn
    Given a call that must start within 1000 ms
    When it is admitted after 0 ms and the target takes long
    And it is withdrawn while it runs
    And the target answers
    Then the target was called 1 times
    And the call ended with stop
