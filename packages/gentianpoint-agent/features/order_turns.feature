Feature: The order of the log decides who holds a turn
  Targets of all services share the weight store's rate, and the targets of
  one service must not all stop serving at once. No process coordinates them,
  so the records in the log decide.

  Scenario: turns stay within the limit
  A data centre comes back and all its engines are empty. If all of them read
  at once, the weight store would refuse most, and none could serve for long.

    Given 6 targets that share 20 units
    When all request 10 units
    Then 2 targets hold a turn
    When the holders release their turns
    Then 2 targets hold a turn
    When the holders release their turns
    Then 2 targets hold a turn

  Scenario: a turn larger than the limit is held alone
  A model is larger than what the store delivers in the time of a turn. It
  would never be loaded if its turn had to fit the limit.

    Given 2 targets that share 20 units
    When all request 50 units
    Then 1 target holds a turn
    When the holders release their turns
    Then 1 target holds a turn

  Scenario: turns held before a claim count
  A target that starts while others read learns of their turns only from
  records before its own claim. Without these the store would be read at twice
  its rate.

    Given 2 targets that share 10 units
    When target 1 requests 10 units
    And target 2 requests 10 units
    Then 1 target holds a turn

  Scenario: two targets see room at the same time
  A target that reads late sees room that another one has taken meanwhile. The
  later start in the log finds the earlier one and does not hold the turn.

    Given 2 targets that share 10 units
    When target 1 requests 10 units while its reads are blocked
    And target 2 requests 10 units
    And 20 seconds pass
    And the appends of target 1 are blocked instead
    And 20 seconds pass
    And nothing is blocked
    And 2 seconds pass
    Then target 2 holds a turn
    And target 1 holds no turn

  Scenario: the turn of a holder that dies expires
  A host dies while its engine reads weights and never releases the turn. If
  turns did not expire, no target would ever load again.

    Given 2 targets that share 10 units
    When target 1 requests 10 units
    And target 2 requests 10 units
    And 25 seconds pass
    Then target 2 holds no turn
    When 10 seconds pass
    Then target 2 holds a turn
    And target 1 holds no turn

  Scenario: a holder renews its turn for a long load
  A large model takes longer to load than a turn lasts. If the turn expired,
  the next target would read at the same time.

    Given 2 targets that share 10 units
    When target 1 requests 10 units and renews its turn
    And target 2 requests 10 units
    And 100 seconds pass
    Then target 1 holds a turn
    And target 2 holds no turn

  Scenario: a target that dies in the queue does not block it
  A target dies between its request and its turn. All targets behind it would
  wait forever for a start that never comes.

    Given 3 targets that share 10 units
    When target 1 requests 10 units
    And target 2 requests 10 units and dies
    And target 3 requests 10 units
    And target 1 releases its turn
    And 40 seconds pass
    Then target 3 holds a turn

  Scenario: a target stops waiting for a turn that is no longer wanted
  An operator reverts a change, or a later claim is found, while the target
  waits. It would wait forever, or load what nobody wants any more.

    Given 2 targets that share 10 units
    When target 1 requests 10 units
    And target 2 requests 10 units
    And target 2 no longer wants a turn
    And 5 seconds pass
    Then target 2 has given up

  Scenario: no turn can be acquired without the log
  The log goes out while a target waits. The target gets the error and decides
  whether its engine can wait.

    Given 1 target that shares 10 units
    When the log is out and target 1 requests 10 units
    Then target 1 got an error from the log

  Scenario: a log over its rate limit does not count as out
  Many agents start in one second, and the log refuses some of their appends.
  If they took this for an outage, their engines would all read without turns.

    Given 12 targets that share 120 units
    And a log that accepts 15 appends a second
    When all request 10 units
    And 20 seconds pass
    Then 12 targets hold a turn

  Scenario: an agent that sent no order for a day can still send one
  Records expire. An agent that reads them only before an order would have
  missed some after a day, could not rule out a later claim among them, and
  its target would keep its version forever.

    Given 1 target that shares 10 units
    When target 1 requests 10 units
    And target 1 reads in the background while others append 3000 records
    And all records expire
    Then target 1 can renew its lease

  Scenario: an agent gives up after a pause in which records expired
  It can't know whether another agent has claimed its target meanwhile.

    Given 1 target that shares 10 units
    When target 1 requests 10 units
    And others append 3 records and all records expire
    Then target 1 can't renew its lease

  Scenario: reads without a turn are spread over the time the store needs
  While the log is out, many engines come back empty and no turns can be
  acquired. If all read at once, the store would refuse them.

    When 1000 delays of 4 targets of 1000 bytes at 500 bytes a second are drawn
    Then all are between 0 and 8 seconds and their mean is near 4 seconds
