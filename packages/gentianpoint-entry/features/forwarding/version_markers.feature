Feature: The log keeps which services have targets of several versions
  Entries remember which versions served lately, and lose that if all of them
  start again at once.

  Scenario: all entries start again as a release ends
    Guards against entries that find one version in the list, and take it for
    the one that began all streams.
    Given 3 entries before 3 targets of v1
    And entries keep in the log which services are mixed
    When 20 streams a second begin for 10 seconds
    And after 2 s 3 targets of v2 start
    And after 5 s the targets of v1 end
    And after 5.2 s all entries start again
    Then no stream has events of two versions
    And the log names 1 services as mixed

  Scenario: one version has served for as long as any stream lasts
    Guards against a service that counts as mixed for ever.
    Given 3 entries before 3 targets of v1
    And entries keep in the log which services are mixed
    When 20 streams a second begin for 6 seconds
    And after 2 s 3 targets of v2 start
    And after 4 s the targets of v1 end
    And nothing comes for 70 s more
    Then the log names 0 services as mixed

  Scenario: one version serves all the time
    Guards against callers that are refused after all entries have started
    again, although nothing is unclear.
    Given 3 entries before 3 targets of v1
    And entries keep in the log which services are mixed
    When 20 streams a second begin for 10 seconds
    And after 5 s all entries start again
    Then no stream has events of two versions
    And callers that come back are served 0.95 times as often as new ones
    And the log names 0 services as mixed

  Scenario: the log loses what entries have marked
    The log comes back from an older copy, and all entries start again before
    the release is over. Guards against entries that then find one version in
    the list, and take it for the one that began all streams.
    Given 3 entries before 3 targets of v1
    And entries keep in the log which services are mixed
    When 20 streams a second begin for 10 seconds
    And after 2 s 3 targets of v2 start
    And after 3.5 s the log comes back from a copy without marks
    And after 5 s the targets of v1 end
    And after 5.2 s all entries start again
    Then no stream has events of two versions
    And the log names 1 services as mixed

  Scenario: the list names a service that no configuration names
    Guards against entries that write what they keep of each service under any
    name that another program has put into the list.
    Given 3 entries before 3 targets of v1
    And entries keep in the log which services are mixed
    When 5 streams a second begin for 4 seconds
    And after 1 s the list names a target of another service
    Then the log names 0 services as mixed
