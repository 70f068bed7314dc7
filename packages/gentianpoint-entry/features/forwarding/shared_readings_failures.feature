Feature: Entries go on reading the log when the one that polls it fails
  One entry polls a topic for all entries, and another one takes over when
  nothing is heard of it.

  Scenario Outline: the entry that polls fails
    It stops, freezes, or is cut off from the log or from the other entries, at
    any point of its poll cycle, and a record is written at the same moment or
    soon after. Entries that kept waiting for it would accept a revoked key, or
    send requests to a target that has left.
    Given 12 entries that follow a <kind> topic within 2000 ms
    When the first reader <fault> at any phase, and a record is written <later> ms later
    Then all others have each record within 2000 ms

    Examples:
      | kind    | fault                        | later |
      | waiting | stops                        | 0     |
      | waiting | stops                        | 400   |
      | waiting | is turned away by the log    | 0     |
      | waiting | is turned away by the log    | 400   |
      | waiting | is cut off from the others   | 0     |
      | waiting | is cut off from the others   | 400   |
      | pausing | stops                        | 0     |
      | pausing | stops                        | 400   |
      | pausing | is turned away by the log    | 400   |
      | pausing | is cut off from the others   | 400   |

  Scenario: the log rejects most entries
    It answers three in ten entries. Unless the others get the records from
    those, they refuse callers by an outdated configuration meanwhile.
    Given 12 entries that follow a waiting topic within 2000 ms
    When the log rejects all but 3 entries, and a record is written 400 ms later
    Then all others have each record within 2000 ms

  Scenario: a message is delayed by a frozen entry
    An entry is frozen for three seconds and then reads the gossip that arrived
    meanwhile. If it took that as fresh and passed it on, entries would not
    poll the log although their reader is gone.
    Given a connection on which messages take 3 ms
    When one message takes 3003 ms
    Then it counts as delayed by 3000 ms

  Scenario: a peer has a record that a long poll missed
    A record that was being appended did not wake this entry's long poll. So
    this entry confirmed the topic later than the peer that has the record.
    Compared by time only, the record would be left until the next poll.
    Given an entry that read a topic without record 1 at 2.0 s
    When it hears that another entry had record 1 at 1.5 s
    Then it has record 1 at once

  Scenario: the log rejects the first two readers by turns
    The log rejects one of the readers after the other and answers all other
    entries. If that counted as an outage of the log, each recovery would
    delay the removal of targets that have left, and requests were sent to
    such a target for nine seconds.
    Given 12 entries that follow a pausing topic within 4000 ms
    When the log rejects the first two readers by turns for 12 seconds
    Then no other entry notes an outage of the log

  Scenario: the log rejects all entries
    Records of targets lapse meanwhile. An entry that only hears of polls by
    others must note the outage too, or it would remove running targets when
    the log is back.
    Given 12 entries that follow a pausing topic within 4000 ms
    When the log rejects all entries for 5 seconds
    Then each entry notes an outage of the log
