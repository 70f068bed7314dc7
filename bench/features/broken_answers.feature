Feature: Targets in trouble send broken answers
  Real entries serve callers, and targets answer requests in ways that break
  HTTP, or before they have read the request.

  Scenario Outline: a part of an answer without framing
    The target resets the connection while a long request is still written to
    it. Guards against a part that reaches its caller as a complete answer.
    When targets on <interface> answer long requests, 3 times each, by
      | answer                              |
      | a part, then a reset at once        |
      | a part, then a reset after 5 ms     |
      | a part, then a reset after 200 ms   |
      | a part, then a close                |
      | a part, then a shutdown and a reset |
    Then each of these answers was sent
    And no caller gets an answer that looks complete and is not

    Examples:
      | interface           |
      | the users' platform |
      | the own interface   |

  Scenario Outline: a sound answer that comes early
    Its length or its last chunk is met, or the target reads the request to its
    end. Guards against losing an answer since its request could not be sent.
    When targets on <interface> answer long requests, 3 times each, by
      | answer                         |
      | its whole length, then a reset |
      | its whole length, then a close |
      | all its chunks, then a reset   |
      | a whole body, then a shutdown  |
    Then each of these answers was sent
    And every caller gets the whole answer

    Examples:
      | interface           |
      | the users' platform |
      | the own interface   |

  Scenario Outline: a framed answer that is cut early
    Guards against a body that is shorter than its length and looks complete.
    When targets on <interface> answer long requests, 2 times each, by
      | answer                             |
      | a part of its length, then a reset |
      | a part in chunks, then a reset     |
    Then each of these answers was sent
    And no caller gets an answer that looks complete and is not

    Examples:
      | interface           |
      | the users' platform |
      | the own interface   |

  Scenario Outline: a status that is none
    Guards against an answer whose status a caller can't understand.
    When targets on <interface> answer requests by
      | answer                   |
      | status 000               |
      | status 000 after 103     |
      | status 000 in HTTP/1.0   |
      | status 000, no reason    |
      | status 000 in chunks     |
      | status 000, then a close |
      | status 0                 |
      | status 00                |
      | status 0000              |
      | status +00               |
      | no status                |
      | status 099               |
    Then each of these answers was sent
    And every caller is told of a failure instead

    Examples:
      | interface           |
      | the users' platform |
      | the own interface   |

  Scenario Outline: the name of a field holds what no name may hold
    Guards against a line that is passed on, and against a body whose length is
    read from another line than its target meant.
    When targets on <interface> answer requests by
      | answer                       |
      | a blank in a name            |
      | a blank in the length's name |
      | a blank after a name         |
      | a tab in a name              |
      | byte 00 in a name            |
      | byte 01 in a name            |
      | byte 0b in a name            |
      | byte 0d in a name            |
      | byte 7f in a name            |
      | no name                      |
    Then each of these answers was sent
    And every caller is told of a failure instead

    Examples:
      | interface           |
      | the users' platform |
      | the own interface   |

  Scenario: a blank before the name of a field
    Such a line continues the field before it. Guards against a seal that is
    passed on with another line in it, and against a length that is not read.
    When targets on the users' platform answer requests by
      | answer                |
      | a blank before a name |
      | a tab before a name   |
    Then each of these answers was sent
    And every caller is told of a failure instead
