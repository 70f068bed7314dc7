Feature: A change comes into force in time despite a log outage
  A change has to be in force on every entry within seven seconds of being
  written.

  Scenario: a change is written as a log outage ends
    Guards against an entry that keeps a revoked key valid for too long. A
    read that was sent shortly before the log answers again is never
    answered itself. An entry whose timeout covers the longest long poll plus
    a whole answer would learn of the change after more than seven seconds.
    Given log outages of up to 15 seconds that begin at different times
    When an entry follows the configuration
    Then a change written as the outage ends is in force within 7000 ms

  Scenario: one entry loses the log, and some of its peers don't answer
    The connection of one entry to the log stops answering, and two of the
    three other entries that it asks are on suspended hosts. If it asked one
    after the other, each of them would use up its whole timeout before the
    one that has the change is asked, and a revoked key would stay valid.
    Given an entry that alone can't reach the log service
    And 2 other entries that don't answer and 1 that has the change
    When the entry follows the configuration, with each order of its peers
    Then a change written meanwhile is in force within 7000 ms

  Scenario: one entry loses the log, and none of its peers answers
    No other entry can give the change to one that has lost the log. An
    operator has to see in the log which entries were asked in vain; one event
    for each is enough.
    Given an entry that alone can't reach the log service
    And 2 other entries that don't answer and 0 that has the change
    When the entry follows the configuration, with each order of its peers
    Then one event is logged for each unanswering entry that was asked
