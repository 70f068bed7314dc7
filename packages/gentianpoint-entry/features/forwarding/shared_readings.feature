Feature: Entries share their polls of the log
  Calls to the log are priced and limited. One entry polls a topic for all
  entries, and another one takes over when nothing is heard of it. A waiting
  topic is read by long polls, a pausing one by short polls with pauses.

  Scenario Outline: calls to the log for one topic
    If every entry polled for itself, the number of calls would grow with the
    number of entries without any gain.
    Given <count> entries that follow a <kind> topic within 2000 ms
    When they follow it for 20 seconds
    Then the log is called at most <most> times a second after the start

    Examples:
      | count | kind    | most |
      | 1     | waiting | 2    |
      | 5     | waiting | 3    |
      | 68    | waiting | 3    |
      | 5     | pausing | 2    |
      | 68    | pausing | 2    |
