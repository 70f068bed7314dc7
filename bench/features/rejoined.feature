Feature: Streams that are taken up after all entries were killed
  Real entries are killed at once, and callers come back to those that start
  again. Whatever they knew is lost.

  Scenario: another version takes the place of all targets meanwhile
    Guards against streams that are put together from two versions, since the
    entries that come back have never seen the one before.
    Given 5 entries before 2 engines
    When all entries are killed 3 times, and all engines are replaced by another version before the first is back
    Then no stream has events of two versions
    And those that are refused may be begun anew, and are told within 1 s
    And streams have been taken up

  Scenario: the same version serves all along
    Guards against callers that are refused although nothing is unclear.
    Given 5 entries before 2 engines
    When all entries are killed 2 times
    Then no stream has events of two versions
    And at least 0.95 of the streams that are taken up go on
    And streams have been taken up
