Feature: What an entry believes of targets

  Scenario: another target answers at the address of one that has ended
    All hosts lose power, and engines come back at the same addresses under
    new identifiers. The old entries stay on the list for seconds, and each
    request sent to them would cost its caller time and the service a retry.
    Given a listed target a that takes work
    When another target answers in place of a
    Then a gets no more work
    But a gets work again once it writes its entry

  Scenario Outline: the list names an earlier start at the same address
    All hosts lose power and engines come back at their addresses. The list
    names both starts of each until the earlier one lapses, and an entry that
    has just read it knows neither. Half of its requests went to starts that
    had ended, and with few retries left the callers were refused.
    Given a list that names the start with record <first> and then that with record <second> at one address
    Then only the start with record 219 gets work
    And the start with record 23 alone gets work once it writes record 230

    Examples:
      | first | second |
      | 23    | 219    |
      | 219   | 23     |

  Scenario: a target starts again under its identifier
    Its entry is the same but for the time of its start. What was believed of
    the start before, such as its load, does not hold for this one.
    Given a listed target a that takes work
    When a is listed with a later start
    Then a new target stands for a, and the one before is gone

  Scenario Outline: entries vanish while the log is away and come back
    Entries lapse during an outage of the log, since targets can't write
    them. Were all dropped at its return, every caller would be refused
    beside idle targets; one that is not back in time has really gone.
    Given a list with targets a and b that the log stops serving
    When the log returns without a, and <then>
    Then <outcome>

    Examples:
      | then                    | outcome            |
      | one second passes       | a is still listed  |
      | a writes its entry again and four seconds pass | a is still listed |
      | four seconds pass       | a is gone          |

  Scenario: an agent tells of an engine before the list does
    Engines are taken away every few seconds, and a new one is empty just when
    the others are fullest. The list names it a second late; callers whose
    generations have to move by then would lose them.
    Given a list that names no target
    When target a is announced
    Then a is used at once
    And the same target stands for a once the list names it

  Scenario Outline: an announced engine that the list never names
    The engine died before it wrote its entry, or the log is away and nobody
    can write one. In the one case every request sent there fails; in the
    other it may be the only engine with room.
    Given a list that names no target
    When target a is announced, and <then>
    Then <outcome>

    Examples:
      | then                                          | outcome           |
      | the list is read without it for three seconds | a is still listed |
      | the list is read without it for five seconds  | a is gone for good |
      | the log is away for ten seconds               | a is still listed |

  Scenario: an announcement that was long on its way
    An entry's host stands still with an announcement unread. By the time it
    wakes the list has dropped the engine; taken for new, it would be sent
    requests that nobody answers.
    Given a list that names no target
    When target a was listed and dropped, and is announced then
    Then a is gone for good

  Scenario: an announced engine at an address that another target had
    Addresses of targets that have gone go to other services. An agent that
    takes the newcomer for its own engine would have a report run by a service
    that must never see it.
    Given a list that names no target
    When target b was listed at a's address and dropped, and a is announced
    Then a is gone for good
    But a is used once the list names it
