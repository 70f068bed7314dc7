Feature: Refused requests outlast the entries
  What entries tell each other is lost if all of them stop at once.

  Scenario: all entries stop after targets have ended under a request
    The power of all hosts fails. Guards against a request that ends three more
    targets each time.
    Given an entry that has seen 3 targets end under a request
    When all entries stop, and one starts
    Then it refuses the request

  Scenario: a target answers the request after all
    Guards against records that are kept for ever.
    Given an entry that has seen 3 targets end under a request
    When a target answers the request
    And all entries stop, and one starts
    Then it does not refuse the request
    And the topic has no record

  Scenario: few targets have ended
    Targets are killed every day. Guards against a record for each request that
    ran there.
    Given an entry that has seen 2 targets end under a request
    Then the topic has no record

  Scenario: a record has lapsed
    Guards against a topic that grows with each refused request.
    Given an entry that has seen 3 targets end under a request
    When all entries stop, and one starts 2 days later
    Then it does not refuse the request
    And the topic has no record

  Scenario: the log is out as a request is refused, and as an entry starts
    Guards against losing the record, and against an entry that waits for it.
    Given the log is out for 30 seconds
    And an entry that has seen 3 targets end under a request
    When all entries stop after a minute, and one starts
    Then it refuses the request

  Scenario: records that can't be read
    Guards against an entry that ends because of a record of another release.
    Given a topic with records that can't be read
    And an entry that has seen 3 targets end under a request
    When all entries stop, and one starts
    Then it refuses the request

  Scenario: the log comes back from an older copy, and all entries stop
    Guards against a request that ends three more targets since the log has
    lost its record, which nobody else writes.
    Given an entry that has seen 3 targets end under a request
    When the log comes back from a copy without records
    And all entries stop, and one starts
    Then it refuses the request

  Scenario: the log comes back from a copy with a request that was answered
    Guards against a request that is refused again since its removal is lost.
    Given an entry that has seen 3 targets end under a request
    When a target answers the request
    And the log comes back from a copy with the record
    And all entries stop, and one starts
    Then it does not refuse the request
