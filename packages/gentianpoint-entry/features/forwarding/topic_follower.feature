Feature: Records of the log reach every entry
  Each entry reads what operators and targets write from the platform's log,
  or from another entry while the log does not answer it.

  Scenario: the first peer that is asked is rejected by the log as well
    The log rejects some entries and answers others, and a key is revoked
    meanwhile. An entry that trusted the first peer it asks would accept the
    revoked key for as long as the log rejects both.
    Given a log that serves this entry up to offset 3
    And another entry that has the topic up to offset 3
    And another entry that has the topic up to offset 5
    When the log starts to reject this entry
    Then this entry has the record at offset 4

  Scenario: a peer holds an older snapshot than this entry
    A peer that was frozen is asked by an entry that the log rejects. If its
    snapshot were applied, a revoked key would be accepted again.
    Given a log that serves this entry up to offset 5
    And another entry that has the topic up to offset 3
    When the log starts to reject this entry
    Then this entry has the record at offset 4

  Scenario: the log has dropped the records after the last one read here
    The log compacts its history while an entry pauses between two polls. Keys
    missing from the snapshot were removed; a target among them would
    otherwise be sent requests forever.
    Given a log that serves this entry up to offset 5
    When the log drops its history and the key of offset 2
    Then the consumer is given a snapshot without the key of offset 2

  Scenario: a process starts while the log is unavailable
    All entries lose power and one is back before the log. Callers would be
    refused until the log is back, although another entry has all records.
    Given a log that rejects this entry from the start
    And another entry that has the topic up to offset 5
    When this entry follows the topic
    Then this entry has the record at offset 4

  Scenario: a record does not wake a long poll
    A long poll reaches the log while a version of the configuration is being
    appended, and the log keeps holding it. An entry that waited for the
    answer would accept a revoked key until the next version.
    Given a log whose long polls are not woken by new records
    When a record is written that a long-polling reader must have within 2000 ms
    Then the record is here within 2000 ms

  Scenario: a topic that changes all the time
    Each heartbeat of a target is a record, and each call to the log has a
    price. Short polls must be rare, but still report in time that a target is
    leaving.
    Given a log that serves this entry up to offset 3
    When a record is written that a short-polling reader must have within 1000 ms
    Then the record is here within 1000 ms
    And the log was read at most 3 times a second

  Scenario: an outage of the log shows in this entry's log lines
    The log is unavailable for some seconds, and this entry refuses callers by
    an outdated configuration for a while longer. Without a line for each
    failed poll, nobody could tell a log that does not answer from an entry
    that waits too long for an answer.
    Given a log that serves this entry up to offset 3
    When the log is unavailable for 5000 ms
    Then each failed poll has a line with its duration and the pause after it
    And the line of the log's return has the number of failures, over 5000 ms
