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

  Scenario: a request that was cut as its entry ended
    A report breaks off at an ordinary pace. Only the lines of the entry
    itself, which name no request, tell that it was told to stop meanwhile.
    Given log lines of a request that was cut as its entry ended
    When the way of request r-1 is asked for
    Then it shows request_sent, leaving_started, shutdown_overdue, request_ended, in this order
    And it says at the end that entry-1 left it "entry stopped"

  Scenario: a request whose entry was killed
    The entry had no time for a line of the request's end, so the next thing
    that is known of it is that it started anew.
    Given log lines of a request whose entry was killed
    When the way of request r-1 is asked for
    Then it shows request_sent, entry_started, in this order
    And it says at the end that entry-1 left it "under way as its entry ended"

  Scenario: lines of other programs among them
    A collector mixes in JSON of other programs. An error at one of their
    lines would leave the engineer without any.
    Given log lines whose fields are of foreign types
    When the way of request r-1 is asked for
    Then it shows request_sent, in this order
