Feature: How long a waiting call will wait
  A call whose wait would be longer than its time is refused at once, so that
  its caller can go elsewhere. A wait that is predicted too long refuses calls
  that would have been served.

  Scenario Outline: few calls run for a moment
  Admission starts a new target with a few calls, and starts none for a
  moment after a preemption. Callers of that moment would all be refused.

    When 12 calls of <held> s have ended while <usual> ran
    And <now> calls run for a moment now
    Then a call behind <ahead> others waits <wait> s

    Examples:
      | held | usual | now | ahead | wait |
      | 8    | 8     | 1   | 19    | 20   |
      | 8    | 8     | 8   | 19    | 20   |
      | 8    | 2     | 8   | 19    | 20   |
      | 8    | 1     | 1   | 0     | 8    |

  Scenario: the first calls that end
  One call tells nothing about the length of the others.

    When 3 calls of 50 s have ended while 1 ran
    Then nothing is known that a call could be refused by
