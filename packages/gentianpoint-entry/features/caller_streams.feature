Feature: Requests of callers at the own interface
  An HTTP server with a small application stands behind real connections.

  Scenario: a body in chunks of a byte
    Guards against a body of legal length whose chunks cost so much that it is
    not read in time, and nothing else meanwhile.
    When a caller sends a body of 40,000 bytes in chunks of a byte
    Then it is answered with status 200
    And the application has got the whole body, in 20 parts at most

  Scenario Outline: wishes for HTTP/2
    Guards against a connection that carries any number of requests at once.
    When a caller sends <start>
    Then it is answered with status <status>

    Examples:
      | start                         | status |
      | the preface of HTTP/2         | 505    |
      | a request to change to HTTP/2 | 200    |

  Scenario Outline: heads that are refused
    Guards against heads that this server and another one read differently.
    When a caller sends <start>
    Then it is answered with status <status>

    Examples:
      | start                    | status |
      | a head with two lengths  | 400    |
      | a head of 70,000 bytes   | 431    |
      | chunks that are no chunks | 400   |

  Scenario: requests that are sent ahead
    Guards against answers that are lost, or come in another order.
    When a caller sends three requests without waiting
    Then it is answered with status 200 three times, in their order

  Scenario: a caller that leaves after it has sent a request ahead
    Guards against work that goes on for a caller that has left, since nobody
    reads what it sent ahead.
    Given an application that does not answer
    When a caller sends two requests and closes its connection
    Then the application is told of its end

  Scenario: more connections than there are descriptors for
    Guards against callers that are shut out by idle connections.
    Given room for 3 connections
    When 9 connections that send nothing are followed by a request
    Then it is answered with status 200

  Scenario: no memory for a request
    Guards against requests that are taken in until the process ends, and
    against promises that a request has not run which may have.
    Given room for no request
    When a caller sends a request, and one that names its generation
    Then they are refused as not run, and with an unknown outcome
