Feature: What an entry believes of targets

  Scenario: another target answers at the address of one that has ended
    All hosts lose power, and engines come back at the same addresses under
    new identifiers. The old entries stay on the list for seconds, and each
    request sent to them would cost its caller time and the service a retry.
    Given a listed target a that takes work
    When another target answers in place of a
    Then a gets no more work
    But a gets work again once it writes its entry

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
