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
      | 3     | 20   |
      | 29    | 20   |

  Scenario Outline: answers break off while a release begins
    Guards against streams that began when one version served, and are taken
    up when two do.
    Given <count> entries before 3 targets of v1
    When 20 streams a second begin for 12 seconds
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
    When 60 streams a second begin for 6 seconds
    And after 4 s a third of the entries is killed
    Then no stream has events of two versions
    And callers that come back are served 0.95 times as often as new ones

  Scenario: entries whose list of targets is late
    The log is out, and one version serves. Guards against callers that are
    refused since no entry can tell that its list is current.
    Given 5 entries before 3 targets of v1
    And the log has been out for 8 s
    When 20 streams a second begin for 10 seconds
    And after 5 s half of the answers are cut
    Then no stream has events of two versions
    And callers that come back are served 0.95 times as often as new ones

  Scenario: one entry has not heard of the second version
    An entry is cut off from the log and from all others before targets of v2
    start. Guards against an entry that takes its list for the whole truth.
    Given 5 entries before 3 targets of v1
    When 20 streams a second begin for 12 seconds
    And after 1 s one entry is cut off
    And after 3 s 3 targets of v2 start
    And after 6 s half of the answers are cut
    Then no stream has events of two versions

  Scenario Outline: all entries start again while targets of one version serve
    Guards against callers that are refused since no entry has watched for as
    long as a stream lasts, and against streams of a version that has gone.
    Given 3 entries before 3 targets of v1
    When 20 streams a second begin for 8 seconds
    And after 5 s all entries start again, and the log names <versions>
    Then callers that come back <outcome>

    Examples:
      | versions     | outcome                                         |
      | one version  | are served 0.95 times as often as new ones      |
      | two versions | are refused as not run, with no time to return  |

  Scenario: datagrams that are lost
    Guards against records that are lost with one datagram.
    Given 29 entries before 3 targets of v1 and 3 of v2
    And one datagram in ten is lost
    When 20 streams a second begin for 12 seconds
    And after 6 s half of the answers are cut
    Then no stream has events of two versions
    And callers that come back are served 0.95 times as often as new ones

  Scenario: nothing is told while one version serves
    Guards against messages for each stream that nobody needs.
    Given 29 entries before 3 targets of v1
    When 20 streams a second begin for 12 seconds
    And after 6 s half of the answers are cut
    Then entries have sent each other no datagrams

  Scenario: datagrams with numbers and texts out of range
    Guards against an entry that ends by what anyone can send it.
    Given 3 entries before 3 targets of v1 and 3 of v2
    When 20 streams a second begin for 3 seconds
    And after 1 s all entries get datagrams with values out of range
    Then no stream has events of two versions
