Feature: Agents keep where streams began while all entries are down
  Agents stand beside the targets and go on when entries end. After a kill of
  all entries they alone know which version began a stream.

  Scenario Outline: all entries are killed while two versions serve
    Guards against callers that are refused for as long as they wait, as no
    entry knows any more which version began their streams.
    Given <count> entries before 3 targets of v1 and 3 of v2
    And an agent beside each target
    When 20 streams a second begin for 12 seconds
    And after 6 s all entries start again, and the log names two versions
    Then no stream has events of two versions
    And callers that come back are served 0.95 times as often as new ones

    Examples:
      | count |
      | 3     |
      | 29    |

  Scenario Outline: agents that can't be relied on
    Guards against streams that are known by one agent alone, which may not be
    there any more.
    Given 5 entries before 5 targets of v1 and 4 of v2
    And an agent beside each target
    When 20 streams a second begin for 12 seconds
    And after 5.9 s a third of the agents <trouble>
    And after 6 s all entries start again, and the log names two versions
    Then no stream has events of two versions
    And callers that come back are served 0.9 times as often as new ones

    Examples:
      | trouble      |
      | starts again |
      | is cut off   |

  Scenario: targets come and go before the kill
    Guards against records that stay with agents which entries don't ask any
    more once the list of targets has changed.
    Given 5 entries before 8 targets of v1
    And an agent beside each target
    When 20 streams a second begin for 12 seconds
    And after 2 s 8 targets of v2 start
    And after 6 s 6 targets of v1 end
    And after 7 s all entries start again, and the log names two versions
    Then no stream has events of two versions
    And callers that come back are served 0.95 times as often as new ones

  Scenario: agents of an earlier release
    Guards against a stream that goes on at any version, as nobody knows of it.
    Given 5 entries before 3 targets of v1 and 3 of v2
    And an agent of an earlier release beside each target
    When 20 streams a second begin for 12 seconds
    And after 6 s all entries start again, and the log names two versions
    Then no stream has events of two versions
    And callers that come back are refused as not run, with no time to return
    And callers that come back wait for at most 1 s

  Scenario: a release while no entry is up
    Nothing was told while one version served. Guards against agents without a
    record that count as knowing that one version served.
    Given 5 entries before 2 targets of v1
    And an agent beside each target
    And entries keep in the log which versions serve
    When 20 streams a second begin for 12 seconds
    And after 5 s all entries are killed
    And after 5.3 s the targets of v1 end
    And after 5.4 s 2 targets of v2 start
    And after 6.5 s all entries are back
    Then no stream has events of two versions
    And callers that come back wait for at most 1 s
    And streams that begin after 9.5 s are whole
