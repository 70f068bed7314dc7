Feature: Turns are settled by the order of the log
  Targets of all services share the weight store's rate, and the targets of
  one service must not all be away at once. No process is set aside to give
  them turns, so the log's records decide.

  Scenario: no more than the limit at a time
  A data centre comes back and all its engines are empty. If all read at once
  the weight store would refuse most of them, and none would serve for long.

    Given 6 targets that share 20 units
    When all ask for 10 units
    Then 2 targets have a turn
    When those give theirs back
    Then 2 targets have a turn
    When those give theirs back
    Then 2 targets have a turn

  Scenario: what is larger than the limit has its turn alone
  A model is larger than what the store gives in the time of a turn. It would
  never be loaded if it had to fit.

    Given 2 targets that share 20 units
    When all ask for 50 units
    Then 1 target has a turn
    When those give theirs back
    Then 1 target has a turn

  Scenario: turns that were open before a claim count
  Targets that start while others read know nothing of their turns, unless
  they read back. The store would be read at twice its rate.

    Given 2 targets that share 10 units
    When target 1 asks for 10 units
    And target 2 asks for 10 units
    Then 1 target has a turn

  Scenario: two targets see room at once
  A target that reads late sees room that another one has taken meanwhile. The
  later start in the log finds the earlier one and stands back.

    Given 2 targets that share 10 units
    When the reads of target 1 are held up as it asks for 10 units
    And target 2 asks for 10 units
    And 20 seconds pass
    And the appends of target 1 are held up instead
    And 20 seconds pass
    And nothing is held up
    And 2 seconds pass
    Then target 2 has a turn
    And target 1 has no turn

  Scenario: a holder that dies loses its turn by the deadline
  A host dies while its engine reads weights and never gives the turn back.
  Without an end of the turn no target would ever load again.

    Given 2 targets that share 10 units
    When target 1 asks for 10 units
    And target 2 asks for 10 units
    And 25 seconds pass
    Then target 2 has no turn
    When 10 seconds pass
    Then target 2 has a turn
    And target 1 has no turn

  Scenario: a holder that works for long keeps its turn
  A large model takes longer than a turn lasts. If the turn ended the next
  one would read beside it.

    Given 2 targets that share 10 units
    When target 1 asks for 10 units and keeps its turn up
    And target 2 asks for 10 units
    And 100 seconds pass
    Then target 1 has a turn
    And target 2 has no turn

  Scenario: a target that dies in the queue does not stop it
  A target asks and dies before its turn comes. All behind it would wait for
  good for a start that never comes.

    Given 3 targets that share 10 units
    When target 1 asks for 10 units
    And target 2 asks for 10 units and dies
    And target 3 asks for 10 units
    And target 1 gives its turn back
    And 40 seconds pass
    Then target 3 has a turn

  Scenario: a turn that is no longer wanted is not waited for
  An operator takes the change back, or a later claim is found, while the
  target waits. It would wait for ever, or load what nobody wants.

    Given 2 targets that share 10 units
    When target 1 asks for 10 units
    And target 2 asks for 10 units
    And target 2 no longer wants it
    And 5 seconds pass
    Then target 2 has given up

  Scenario: no turn without the log
  The log goes out while a target waits. It is told so, and decides for
  itself whether its engine can wait.

    Given 1 target that shares 10 units
    When the log is out and target 1 asks for 10 units
    Then target 1 was told that the log can't be used

  Scenario: a log over its rate is not taken for one that is out
  Many agents start in one second and the log refuses some appends. Taken for
  an outage, their engines would all read without turns.

    Given 12 targets that share 120 units
    And a log that takes 15 appends a second
    When all ask for 10 units
    And 20 seconds pass
    Then 12 targets have a turn

  Scenario: an agent that ordered nothing for a day can still order
  Records expire. An agent that had no order to give for that long has read
  none of them, could not rule out a later claim among them, and its target
  would stay at its version for ever.

    Given 1 target that shares 10 units
    When target 1 asks for 10 units
    And target 1 has read on while others wrote 3000 records
    And all records expire
    Then target 1 can renew its lease

  Scenario: an agent that was paused for longer than records are kept gives up
  It can't know whether another agent has claimed its target meanwhile.

    Given 1 target that shares 10 units
    When target 1 asks for 10 units
    And others wrote 3 records and all records expire
    Then target 1 can't renew its lease

  Scenario: reads without a turn are spread over what the store needs
  While the log is out many engines come back empty and nobody gives turns.
  All at once they would meet refusals only.

    When 1000 waits of 4 targets of 1000 bytes at 500 bytes a second are drawn
    Then all are between 0 and 8 seconds and their mean is near 4 seconds
