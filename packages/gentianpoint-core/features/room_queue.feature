Feature: The order of requests that wait for room, and how long they wait
  Long generations hold the memory of all engines.

  Scenario: short ones come after long ones
    Guards against short urgent generations that miss their objective behind
    long ones, which have seconds to spare.
    Given 12 long generations wait from 0 s on
    And 12 short generations wait from 0.2 s on
    When room for one opens every 0.09 s
    Then the short ones are sent by 1.4 s, all of them on time
    And the long ones are sent after them, in the order in which they came

  Scenario Outline: who goes first
    Guards against an order in which a caller that was refused is refused
    again, or one customer delays all others.
    Given requests wait with <traits>
    Then room goes to them in the order <order>

    Examples:
      | traits                              | order |
      | nothing, urgency, nothing           | 2 1 3 |
      | nothing, a retry, nothing           | 2 1 3 |
      | urgency, a retry, nothing           | 1 2 3 |
      | more usage, nothing, nothing        | 2 3 1 |
      | more usage, a retry and more usage  | 2 1   |
      | urgency and lateness, nothing       | 2 1   |

  Scenario: a long one behind a stream of short ones
    Guards against a large request that starves, since a smaller one always
    fits into the room that opens.
    Given a long generation waits, and a short one always behind it
    When there is room for a short one only, 100 times
    Then the long one is passed 32 times

  Scenario: nobody behind one that was passed too often
    Guards against a request that is passed without end by those that are
    smaller than another one in front of it.
    Given requests of 900, 500 and 100 tokens wait
    And the second was passed too often
    Then after the first one the second is tried, and no other

  Scenario Outline: how long a wait is of use
    Guards against a caller that waits for a response that comes too late, and
    against one that is refused while its response would be in time.
    When a generation with an objective of <objective> ms waits
    Then it is late after <late> s and given up after <end> s

    Examples:
      | objective | late | end |
      | 1500      | 1.0  | 4.0 |
      | 0         | 4.0  | 4.0 |
      | 9000      | 4.0  | 4.0 |

  Scenario: a decision with many targets and requests
    Guards against an entry that is busy with its queue.
    When 100 requests wait for room at 200 targets
    Then a decision takes less than 0.2 ms
