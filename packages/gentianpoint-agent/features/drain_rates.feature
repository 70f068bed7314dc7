Feature: The predicted wait of a call
  A call that would wait longer than its deadline allows is refused at once, so
  that its caller can use another target. A predicted wait that is too long
  refuses calls that would have been served in time.

  Scenario Outline: few calls run for a moment
  Admission starts a few calls on a new target, and none for a moment after a
  preemption. Callers at that moment would all be refused.

    When 12 calls of <held> s have ended while <usual> ran
    And <now> calls run for a moment now
    Then a call behind <ahead> others waits <wait> s

    Examples:
      | held | usual | now | ahead | wait |
      | 8    | 8     | 1   | 19    | 20   |
      | 8    | 8     | 8   | 19    | 20   |
      | 8    | 2     | 8   | 19    | 20   |
      | 8    | 1     | 1   | 0     | 8    |

  Scenario: too few calls have ended for a prediction
  One call says nothing about the length of the others.

    When 3 calls of 50 s have ended while 1 ran
    Then no call may be refused by a predicted wait
