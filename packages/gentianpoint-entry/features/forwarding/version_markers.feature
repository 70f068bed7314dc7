Feature: The log keeps which software versions serve
  Entries remember which versions served lately, and lose that if all of them
  start again at once. A release may begin and end before the first is back.

  Scenario: all entries start again as a release ends
    Guards against entries that find one version in the list, and take it for
    the one that began all streams.
    Given 3 entries before 3 targets of v1
    And entries keep in the log which versions serve
    When 20 streams a second begin for 10 seconds
    And after 2 s 3 targets of v2 start
    And after 5 s the targets of v1 end
    And after 5.2 s all entries start again
    Then no stream has events of two versions
    And the log names the versions v1, v2

  Scenario: one version has served for as long as any stream lasts
    Guards against a service that counts as mixed for ever.
    Given 3 entries before 3 targets of v1
    And entries keep in the log which versions serve
    When 20 streams a second begin for 6 seconds
    And after 2 s 3 targets of v2 start
    And after 4 s the targets of v1 end
    And nothing comes for 70 s more
    Then the log names the versions v2

  Scenario: one version serves all the time
    Guards against callers that are refused after all entries have started
    again, although nothing is unclear.
    Given 3 entries before 3 targets of v1
    And entries keep in the log which versions serve
    When 20 streams a second begin for 10 seconds
    And after 5 s all entries start again
    Then no stream has events of two versions
    And callers that come back are served 0.95 times as often as new ones
    And callers that come back wait for at most 0.2 s
    And the log names the versions v1

  Scenario Outline: a release while no entry is up
    Guards against a stream of the version before that goes on at the only one
    which the first entry to come back has ever seen.
    Given <entries> entries before 2 targets of v1
    And entries keep in the log which versions serve
    When 20 streams a second begin for 12 seconds
    And after 5 s all entries are killed
    And after 5.3 s the targets of v1 end
    And after 5.4 s 2 targets of v2 start
    And after 6.5 s all entries are back
    Then no stream has events of two versions
    And callers that come back are refused as not run, with no time to return
    And callers that come back wait for at most 1 s
    And streams that begin after 9.5 s are whole

    Examples:
      | entries |
      | 3       |
      | 29      |

  Scenario Outline: a version comes right before all entries are killed
    It is gone, or the one before is, as they come back. Guards against streams
    that begin at a version which nothing has recorded yet.
    Given 5 entries before 2 targets of v1
    And entries keep in the log which versions serve
    When 40 streams a second begin for 10 seconds
    And after 4 s 4 targets of v2 start
    And after <killed> s all entries are killed
    And after 6.6 s the targets of <gone> end
    And after 7 s all entries are back
    Then no stream has events of two versions
    And callers that come back wait for at most 1 s

    Examples:
      | killed | gone |
      | 4.02   | v2   |
      | 4.3    | v2   |
      | 4.9    | v2   |
      | 6.5    | v2   |
      | 4.02   | v1   |
      | 4.3    | v1   |
      | 4.9    | v1   |
      | 6.5    | v1   |

  Scenario Outline: those that write a mark are lost
    Guards against entries that take a mark for written because others should
    have written it.
    Given 5 entries before 2 targets of v1
    And entries keep in the log which versions serve
    When 20 streams a second begin for 14 seconds
    And after 3.9 s the entries that would write are <lost>
    And after 4 s 2 targets of v2 start
    And after 8.5 s all entries are killed
    And after 8.6 s the targets of <gone> end
    And after 9.5 s all entries are back
    Then no stream has events of two versions
    And the log names the versions v1, v2

    Examples:
      | lost                 | gone |
      | cut off from the log | v1   |
      | cut off from the log | v2   |
      | killed               | v1   |
      | killed               | v2   |

  Scenario: the log loses what entries have marked
    The log comes back from an older copy, and all entries start again before
    the release is over. Guards against entries that then find one version in
    the list, and take it for the one that began all streams.
    Given 3 entries before 3 targets of v1
    And entries keep in the log which versions serve
    When 20 streams a second begin for 10 seconds
    And after 2 s 3 targets of v2 start
    And after 4.5 s the log comes back from a copy without marks
    And after 6 s the targets of v1 end
    And after 6.2 s all entries start again
    Then no stream has events of two versions
    And the log names the versions v1, v2

  Scenario Outline: the log comes back from a copy while no entry is up
    Nobody is left who would write again what it has lost. Guards against
    entries that take the marks of an older copy for all that there were.
    Given 3 entries before 3 targets of v1
    And entries keep in the log which versions serve
    When 20 streams a second begin for 10 seconds
    And after 2 s 3 targets of v2 start
    And after 6 s all entries are killed
    And after 6.1 s the log comes back from a copy <copy>
    And after 6.2 s the targets of v2 end
    And after 7 s all entries are back
    Then no stream has events of two versions
    And callers that come back wait for at most 1 s

    Examples:
      | copy              |
      | without marks     |
      | with the first one |

  Scenario: the log comes back from a copy with all marks
    Guards against callers that are refused ever after, since marks that the
    log has kept count as those of an earlier era.
    Given 3 entries before 3 targets of v1
    And entries keep in the log which versions serve
    When 20 streams a second begin for 10 seconds
    And after 2 s the log comes back from a copy with the first one
    And after 5 s all entries start again
    Then no stream has events of two versions
    And callers that come back are served 0.95 times as often as new ones
    And the log names the versions v1

  Scenario: the log loses all marks, and all entries are killed twice
    Guards against entries that take for complete what the first ones to come
    back have written, which knew no more than the list.
    Given 3 entries before 2 targets of v1
    And entries keep in the log which versions serve
    And callers stay away for 4.5 s after a break
    When 20 streams a second begin for 12 seconds
    And after 5 s all entries are killed
    And after 5.1 s the log comes back from a copy without marks
    And after 5.3 s the targets of v1 end
    And after 5.4 s 2 targets of v2 start
    And after 6 s all entries are back
    And after 8.7 s all entries are killed
    And after 9.2 s all entries are back
    Then no stream has events of two versions
    And callers that come back wait for at most 1 s

  Scenario: a mark that was removed comes back
    Guards against a service that counts as mixed for ever after the log came
    back from a copy.
    Given 3 entries before 3 targets of v1
    And entries keep in the log which versions serve
    When 5 streams a second begin for 4 seconds
    And after 2 s the log comes back from a copy with a mark of v0
    And nothing comes for 130 s more
    Then the log names the versions v1

  Scenario Outline: the log is out as all entries come back
    Guards against entries that go by the list alone until they can read which
    versions served before.
    Given 3 entries before 2 targets of v1
    And entries keep in the log which versions serve
    When 20 streams a second begin for 10 seconds
    And after 5 s all entries are killed
    And after 5.1 s the log is out for <out> s
    And after 5.3 s the targets of v1 end
    And after 5.4 s 2 targets of v2 start
    And after 6 s all entries are back
    Then no stream has events of two versions
    And callers that come back wait for at most 1 s

    Examples:
      | out |
      | 2.0 |
      | 8.0 |

  Scenario: some entries are back while others still start
    They ask each other. Guards against an answer of an entry that knows of no
    stream and no version, which counts as one version.
    Given 5 entries before 2 targets of v1
    And entries keep in the log which versions serve
    When 20 streams a second begin for 12 seconds
    And after 5 s all entries are killed
    And after 5.3 s the targets of v1 end
    And after 5.4 s 2 targets of v2 start
    And after 6 s 3 entries are back
    And after 7.5 s all entries are back
    Then no stream has events of two versions
    And callers that come back wait for at most 1 s

  Scenario Outline: a mark of an entry whose routes last longer
    Guards against an entry that removes the mark of a version at which streams
    have begun that it does not know of.
    Given 3 entries before 3 targets of v1
    And entries keep in the log which versions serve
    And the log names v0 for streams that last <window> s
    When 5 streams a second begin for 4 seconds
    And nothing comes for <rest> s more
    Then the log names the versions <versions>

    Examples:
      | window | rest | versions |
      | 200    | 150  | v0, v1   |
      | 200    | 230  | v1       |
      | 10     | 40   | v0, v1   |
      | 10     | 70   | v1       |

  Scenario: lists that lag
    One entry knows a version later than the others, and its list still counts
    as current. Guards against an entry that has not heard of a version where
    others begin streams already.
    Given 12 entries before 3 targets of v1
    And entries keep in the log which versions serve
    And lists lag by up to 1.4 s
    When 60 streams a second begin for 8 seconds
    And after 3 s 3 targets of v2 start
    And after 3.5 s half of the answers are cut
    And after 3.9 s half of the answers are cut
    And after 4.3 s half of the answers are cut
    Then no stream has events of two versions

  Scenario: marks of an earlier release
    Guards against a new entry that does not read what others have written.
    Given 3 entries before 3 targets of v1
    And entries keep in the log which versions serve
    And the log has a mark of an earlier release
    When 20 streams a second begin for 10 seconds
    And after 5 s all entries start again
    Then callers that come back are refused as not run, with no time to return
    And the log names the versions v1

  Scenario: marks that can't be read
    Guards against an entry that ends because of another program's record.
    Given 3 entries before 3 targets of v1
    And entries keep in the log which versions serve
    And the log has marks that can't be read
    When 20 streams a second begin for 10 seconds
    And after 5 s all entries start again
    Then callers that come back are served 0.95 times as often as new ones

  Scenario: the list names a service that no configuration names
    Guards against entries that write what they keep of each service under any
    name that another program has put into the list.
    Given 3 entries before 3 targets of v1
    And entries keep in the log which versions serve
    When 5 streams a second begin for 4 seconds
    And after 1 s the list names a target of another service
    Then the log names the versions v1
