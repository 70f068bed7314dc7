Feature: Callers take streams up at any entry, at the version that began them
  The entry that a caller comes back to need not be the one that began the
  stream, and that one may be gone.

  Scenario Outline: entries are killed while two versions serve
    Guards against streams of two versions, and against callers that are
    refused although targets of their version serve.
    Given <count> entries before 3 targets of v1 and 3 of v2
    When <rate> streams a second begin for 12 seconds
    And after 6 s a third of the entries is killed
    Then no stream has events of two versions
    And callers that come back are served 0.95 times as often as new ones

    Examples:
      | count | rate |
      | 3     | 10   |
      | 29    | 10   |

  Scenario Outline: answers break off while a release begins
    Guards against streams that began when one version served, and are taken
    up when two do.
    Given <count> entries before 3 targets of v1
    When 10 streams a second begin for 12 seconds
    And after 5 s 3 targets of v2 start
    And after <after> s half of the answers are cut
    Then no stream has events of two versions
    And callers that come back are served 0.95 times as often as new ones

    Examples:
      | count | after |
      | 3     | 4.8   |
      | 3     | 5.1   |
      | 3     | 8     |
      | 29    | 6     |

  Scenario: the version that began them has gone
    Guards against callers that wait for a version that does not come back, or
    that are given another one.
    Given 3 entries before 3 targets of v1
    When 10 streams a second begin for 12 seconds
    And after 4 s 3 targets of v2 start
    And after 6 s the targets of v1 end
    Then no stream has events of two versions
    And callers that come back are refused as not run, with no time to return

  Scenario: a large fleet
    Guards against records that are not found where each entry knows few others.
    Given 380 entries before 3 targets of v1 and 3 of v2
    When 20 streams a second begin for 8 seconds
    And after 5 s a third of the entries is killed
    Then no stream has events of two versions
    And callers that come back are served 0.95 times as often as new ones
