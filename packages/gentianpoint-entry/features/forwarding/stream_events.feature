Feature: Events are passed on whole and in order

  Scenario Outline: bytes come in any pieces
    Targets and networks cut a stream anywhere. A caller that got half an
    event and then the rest from another target would read a broken one.
    Given the bytes of events 1 to 3 with line ends <ends>
    When they come in pieces of <size> bytes
    Then 3 events are read, with the numbers 1 to 3 and the same bytes

    Examples:
      | ends | size |
      | LF   | 1    |
      | LF   | 7    |
      | LF   | 500  |
      | CRLF | 1    |
      | CRLF | 9    |

  Scenario Outline: the numbers of events
    Given a caller that has the event "<last>"
    When events come with the numbers <numbers>
    Then these are passed on: <given>

    Examples:
      | last | numbers | given                |
      |      | 1 2 3   | 1 2 3                |
      |      | 4 8 12  | 4 8 12               |
      | 2    | 1 2 3 4 | 3 4                  |
      | 2    | 3 5     | 3 and then a failure |
      |      | 1 2 2 3 | 1 2 3                |
      |      | 1 2 4   | 1 2 and then a failure |

  Scenario Outline: identifiers that are no numbers
    Callers and targets choose identifiers. An error at one would reset the
    caller's stream, or that of a request that could be answered.
    Given a caller that has the event "<last>"
    When events come with the numbers 1 2
    Then these are passed on: 1 2

    Examples:
      | last                                        |
      | none                                        |
      | ²                                           |
      | ١                                           |
      | -1                                          |

  Scenario: identifiers of thousands of digits
    Given a caller that has an event of 5000 digits
    When an event of 5000 digits comes
    Then the event is passed on

  Scenario: bytes that are no events
    A target that is broken sends anything. Its bytes reach the caller as they
    came, or the stream breaks off; no error ends the request otherwise.
    Then whatever bytes come, all are passed on in order or the stream breaks off
