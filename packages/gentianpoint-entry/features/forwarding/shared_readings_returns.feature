Feature: Entries go on reading a log that comes back from an older copy
  One entry polls a topic for all entries. Offsets of before come again.

  Scenario Outline: the log comes back from an older copy
    Guards against records that entries miss since their offsets were given out
    before, and against news of before that come back by gossip.
    Given <count> entries that follow a <kind> topic within 2000 ms
    When the log is away for 1.2 s and loses <lost> of 9 records, while <those> are turned away
    Then all others have each record within 2000 ms
    And each entry notes one return of the log
    And the log was called at most <most> times in the 6 s after its return

    Examples:
      | count | kind    | lost | those | most |
      | 3     | waiting | 1    | 0     | 40   |
      | 3     | waiting | 8    | 0     | 40   |
      | 29    | waiting | 5    | 0     | 40   |
      | 29    | waiting | 5    | 9     | 120  |
      | 29    | pausing | 8    | 0     | 40   |
      | 380   | waiting | 5    | 0     | 40   |
