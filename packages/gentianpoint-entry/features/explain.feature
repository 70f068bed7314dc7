Feature: The timeline of a request is assembled from log lines

  Scenario: log lines of several processes in any order
    The on-call engineer has the log lines of all processes, mixed with other
    output. To explain a stream that broke off, the timeline must list in
    order what happened to the request and to its targets.
    Given log lines of two processes, mixed with other output
    When the timeline of request r-1 is requested
    Then it shows that r-1 was sent, that its target was leaving, and its end
    And it shows no other request and no later event of the target

  Scenario: no log line mentions the request
    Given log lines of two processes, mixed with other output
    When the timeline of request r-9 is requested
    Then the timeline is empty

  Scenario: a request that its entry broke off as it stopped
    Nothing in the request's own lines explains why it broke off. That the
    entry had been told to stop is only in lines that name no request.
    Given log lines of a request whose entry stopped before its end
    When the timeline of request r-1 is requested
    Then it shows request_sent, leaving_started, shutdown_overdue, request_ended, in this order
    And its last line gives the cause at entry-1 as "entry stopped"

  Scenario: a request whose entry was killed
    A killed entry does not log the end of its requests. The first sign of it
    is that the entry starts again.
    Given log lines of a request whose entry was killed
    When the timeline of request r-1 is requested
    Then it shows request_sent, entry_started, in this order
    And its last line gives the cause at entry-1 as "unfinished when its entry ended"

  Scenario: JSON lines of other programs
    A log collector also passes on JSON lines of other programs, with fields
    of unexpected types. They must not make the command fail.
    Given log lines whose fields have unexpected types
    When the timeline of request r-1 is requested
    Then it shows request_sent, in this order
