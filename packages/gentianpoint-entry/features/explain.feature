Feature: A request's way is read from log lines

  Scenario: lines of many processes in any order
    A technician complains of a report that broke off. The engineer on call
    has the lines of all processes mixed, with other output between them, and
    must see in order what happened to this request and its targets.
    Given log lines of two processes, mixed with other output
    When the way of request r-1 is asked for
    Then it shows that r-1 was sent, that its target got notice, and its end
    And it shows nothing of another request or a later notice

  Scenario: no line tells of the request
    Given log lines of two processes, mixed with other output
    When the way of request r-9 is asked for
    Then nothing is shown
