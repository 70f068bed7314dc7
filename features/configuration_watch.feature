Feature: Operators see each change take hold
  Operators drive the system by writing resources and watching them. They
  need to see whether a change is pending, accepted or refused, and on how
  many of the live hosts it is in force.

  Scenario: a change is in force on every live host
    Given 2 entries and 2 targets whose changes are watched
    When an operator changes the service
    Then the change is at last in force on 4 of 4 hosts
    And the watch shows the change accepted and then in force on 4 of 4

  Scenario: a frozen agent is named as lagging
    An agent's host stands still. The operator sees which one has not taken
    the change, and sees it catch up.

    Given 2 entries and 2 targets whose changes are watched
    When the first agent is frozen
    And an operator changes the service
    Then the change is in force on 3 of 4 hosts and the first agent lags
    When the first agent is thawed
    Then the change is at last in force on 4 of 4 hosts

  Scenario: a watch resumes at another entry where it broke off
    The entry through which an operator watches dies. The watch goes on at
    another one from the last revision seen: nothing missed, nothing twice.

    Given 2 entries and 0 targets whose changes are watched
    When 3 changes are watched through the first entry
    And the first entry is killed
    And 2 more changes are made through the last entry
    And the watch resumes there
    Then the 5 changes are seen once each in order

  Scenario: a refused change is shown with its reason
    Given 2 entries and 0 targets whose changes are watched
    When an operator writes with an old base
    Then the watch shows the change refused since revision is

  Scenario: a watch from a revision that is too old
    Changes are kept for a limited number of revisions. Who comes back after
    that is told to list again, rather than miss some without knowing.

    Given 1 entries and 0 targets whose changes are watched
    When 4200 records are appended to the log
    Then a watch after revision 2 is answered with 410 compacted
    And a watch after the current revision is answered with 200

  Scenario: an operator who reads slowly holds up nobody
    Given 1 entries and 0 targets whose changes are watched
    When an operator opens a watch and reads nothing
    And 300 large customers are declared
    Then another operator sees all 300 changes
    And the entry answers callers
