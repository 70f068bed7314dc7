Feature: Which targets an entry knows and sends work to

  Scenario: another target answers at the address of one that has ended
    Guards against sending requests to targets that have ended. After a power
    failure of all hosts, engines return at the same addresses under new
    identifiers, and the old entries stay on the list for seconds. Each
    request sent to one of them costs its caller time and the service a retry.
    Given a listed target a that takes work
    When another target answers in place of a
    Then a gets no more work
    But a gets work again once it writes its entry

  Scenario Outline: the list names an earlier start at the same address
    Guards against an entry that has just read the list and sends requests to
    starts that have ended. After a power failure of all hosts, the list names
    both starts of each engine until the earlier entry expires. Half of the
    requests went to the ended starts, and callers were refused once few
    retries were left.
    Given a list that names the start with record <first> and then that with record <second> at one address
    Then only the start with record 219 gets work
    And the start with record 23 alone gets work once it writes record 230

    Examples:
      | first | second |
      | 23    | 219    |
      | 219   | 23     |

  Scenario: a target starts again under its identifier
    Guards against state that outlives a restart, such as the load of the
    previous start. The new entry differs only in the time of the start.
    Given a listed target a that takes work
    When a is listed with a later start
    Then a new target replaces a, and the one before is gone

  Scenario Outline: entries expire while the log is unavailable
    Guards against dropping healthy targets after an outage of the log, which
    would refuse every caller while targets are idle. Their entries expire
    because they can't write during the outage. A target that does not write
    its entry soon after the outage has really gone.
    Given a list with targets a and b that the log stops serving
    When the log returns without a, and <then>
    Then <outcome>

    Examples:
      | then                    | outcome            |
      | one second passes       | a is still listed  |
      | a writes its entry again and four seconds pass | a is still listed |
      | four seconds pass       | a is gone          |

  Scenario: an agent announces an engine before it is listed
    Guards against losing generations that have to move before the list names
    a new engine, which takes a second. Where engines are taken away every few
    seconds, the others are fullest just when a new one is still empty.
    Given a list that names no target
    When target a is announced
    Then a is used at once
    And a is the same target once the list names it

  Scenario Outline: an announced engine that the list never names
    Guards against keeping an engine that stopped before it wrote its entry,
    where every request sent to it fails, and against dropping one that can't
    write its entry because the log is unavailable, which may be the only
    engine with free capacity.
    Given a list that names no target
    When target a is announced, and <then>
    Then <outcome>

    Examples:
      | then                                          | outcome           |
      | the list is read without it for three seconds | a is still listed |
      | the list is read without it for five seconds  | a is not listed   |
      | the log is unavailable for ten seconds        | a is still listed |

  Scenario: a delayed announcement
    Guards against a dropped engine that is taken for a new one and sent
    requests that nobody answers. An entry whose host is frozen may read an
    announcement only after the list has dropped the engine.
    Given a list that names no target
    When target a was listed and dropped, and is announced then
    Then a is not listed

  Scenario: an announced engine at an address that another target had
    Guards against requests that are run by a service that must not receive
    them. Addresses of targets that have gone are reused by other services;
    an agent may take such a target for its own engine.
    Given a list that names no target
    When target b was listed at a's address and dropped, and a is announced
    Then a is not listed
    But a is used once the list names it
