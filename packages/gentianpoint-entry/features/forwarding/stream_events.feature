Feature: Events are forwarded whole and in order

  Scenario Outline: bytes arrive in any pieces
    Targets and networks split a stream anywhere. Guards against a caller that
    gets half an event, and the rest of it from another target.
    Given the bytes of events 1 to 3 with line ends <ends>
    When they arrive in pieces of <size> bytes
    Then 3 events are read, with the numbers 1 to 3 and the same bytes

    Examples:
      | ends | size |
      | LF   | 1    |
      | LF   | 7    |
      | LF   | 500  |
      | CRLF | 1    |
      | CRLF | 9    |

  Scenario Outline: the numbers of events
    Guards against a stream that is cut although all its events came, since
    their numbers rise unevenly, and against a gap between two runs that nobody
    notices.
    Given a caller that has the event "<last>"
    When events arrive with the numbers <numbers>
    Then these are forwarded: <given>

    Examples: One run
      | last | numbers   | given     |
      |      | 1 2 3     | 1 2 3     |
      |      | 4 8 12    | 4 8 12    |
      | 2    | 1 2 3 4   | 3 4       |
      |      | 1 2 2 3   | 1 2 3     |
      |      | 4 8 12 14 | 4 8 12 14 |
      |      | 1 2 4     | 1 2 4     |
      | 2    | 3 5       | 3 5       |

    Examples: Two runs
      | last | numbers          | given                      |
      |      | 1 2 then 3 4     | 1 2 3 4                    |
      |      | 1 2 then 2 3 4   | 1 2 3 4                    |
      |      | 1 2 then 4       | 1 2 and then a failure     |
      |      | 1 2 3 then 2 5   | 1 2 3 and then a failure   |
      |      | 4 8 10 then 14   | 4 8 10 14                  |
      |      | 4 8 10 then 15   | 4 8 10 and then a failure  |
      | 2    | 3 then 5         | 3 and then a failure       |
      |      | 1 then 3 then 6  | 1 3 and then a failure     |

  Scenario Outline: identifiers that are not numbers
    Callers and targets choose identifiers. Guards against an error that resets
    the caller's stream, or that of a request that could be answered.
    Given a caller that has the event "<last>"
    When events arrive with the numbers 1 2
    Then these are forwarded: 1 2

    Examples:
      | last                                        |
      | none                                        |
      | ²                                           |
      | ١                                           |
      | -1                                          |

  Scenario: identifiers of thousands of digits
    Given a caller that has an event of 5000 digits
    When an event of 5000 digits arrives
    Then the event is forwarded

  Scenario: bytes that are not events
    Guards against a request that ends with an error because a broken target
    sends arbitrary bytes. They are forwarded up to the last whole event, or
    the stream breaks off.
    Then whatever bytes arrive, all are forwarded in order or the stream breaks off
