Feature: Callers' connections
  Requests are passed on byte for byte, and an answer that is cut off never
  looks complete.

  Scenario Outline: requests in any form
    Given a handler that echoes the request
    When a caller sends a <form>
    Then the echo has the method <method>, target <target> and body <body>

    Examples:
      | form                     | method | target      | body  |
      | plain request            | GET    | /a/b        |       |
      | request with an odd path | GET    | /a%2Fb/?    |       |
      | request with a query     | GET    | /a?x=1&&y=% |       |
      | request with a length    | POST   | /a          | hello |
      | request in chunks        | POST   | /a          | hello |

  Scenario: two pipelined requests
    Given a handler that echoes the request
    When a caller sends two requests without waiting
    Then both are answered in order

  Scenario Outline: requests that can't be read
    Given a handler that echoes the request
    When a caller sends a <form>
    Then it is answered with status <status> and the connection ends

    Examples:
      | form                | status |
      | malformed head      | 400    |
      | body over the limit | 413    |
      | malformed chunk     | 400    |

  Scenario Outline: an answer that can't be finished
    Guards against an incomplete answer that ends like a complete one. The
    target's connection broke, and no other target could continue. Callers of
    HTTP/1.0 know no chunks: an answer ends with its connection.
    Given a handler that stops in the middle of its answer
    When a caller sends a <form>
    Then the caller's connection is reset

    Examples:
      | form                |
      | plain request       |
      | request of HTTP/1.0 |

  Scenario: a handler fails before its answer
    Guards against a request that ends without a final answer.
    Given a handler that raises an unexpected error
    When a caller sends a plain request
    Then it is answered with status 502 and the connection ends

  Scenario: a handler fails in the middle of its answer
    Guards against half an answer that ends like a complete one.
    Given a handler that raises an error in the middle of its answer
    When a caller sends a plain request
    Then the caller's connection is reset

  Scenario: a caller that disconnects
    Guards against a target that goes on working after the caller has closed
    its connection in the middle of an answer.
    Given a handler that never returns
    When a caller sends a plain request and closes its connection
    Then the handler is cancelled

  Scenario: an entry that shuts down
    Given a handler that echoes the request
    And an entry that shuts down
    When a caller sends a request on a kept-alive connection
    Then the answer says that the connection closes

  Scenario: the first request of a new connection while idle ones are closed
    Guards against a request of a caller that has just connected to an entry
    that shuts down, which is read and dropped without an answer.
    Given a handler that echoes the request
    And an entry that shuts down
    When a caller connects, idle connections are closed, and it sends a request
    Then it gets an answer

  Scenario: a request crosses the close of a kept-alive connection
    Guards against a request that is read on a connection that the entry has
    closed: its caller may only retry it if it was not read.
    Given a handler that echoes the request
    And an entry that shuts down
    When a caller that was answered sends again as idle connections are closed
    Then its second request is not read

  Scenario Outline: an entry shuts down while a request arrives
    Guards against an entry that stops with a partly read request although it
    has the time to serve it.
    Given a handler that echoes the request
    And an entry that shuts down
    When a caller sends half of a <form>
    Then the entry counts as busy
    And it is no longer busy once the caller has its answer

    Examples:
      | form                               |
      | plain request                      |
      | request with a length              |
      | request on a kept-alive connection |

  Scenario: an entry ends right after it has written an answer
    Guards against an answer that is written and then lost to a reset, since
    the connection is closed by the entry's end instead of after the answer.
    Given an entry that ends as soon as its handler has answered
    When a caller sends a plain request
    Then it is answered with status 200 and the connection ends

  Scenario: a caller reads nothing while its entry shuts down
    Guards against a process that waits for a stalled caller until it is
    killed.
    Given a handler whose answer is longer than its caller reads
    When the time for writing ends 200 ms after the request
    Then the handler learns that its caller is gone

  Scenario: a head that does not end
    Guards against a connection that a caller keeps with a byte now and then.
    Given a handler that echoes the request
    When a caller sends a head of which a byte comes each 300 ms
    Then it is answered with status 408 and the connection ends

  Scenario: a body that does not end within the time that it is of use
    Guards against a body that comes so slowly that nobody waits any more.
    Given a check of heads by which bodies must be read within 500 ms
    When a caller sends a body of which a byte comes each 100 ms
    Then it is answered with status 408 and the connection ends

  Scenario Outline: what the head tells is answered without the body
    Guards against bodies that are read for requests that are refused.
    Given a check of heads that refuses all with status <status>
    When a caller sends the head of a request with a body of <length> bytes
    Then it is answered with status <status> and the connection ends

    Examples:
      | status | length  |
      | 404    | 900     |
      | 401    | 900     |
      | 503    | 900     |

  Scenario: a caller that waits to be told to send the body
    Guards against callers that are asked for a body that is refused then.
    Given a check of heads that refuses all with status 404
    When a caller sends the head of a request that waits to be continued
    Then it is answered with status 404 and the connection ends

  Scenario: a refused request whose body is there already
    Guards against connections that are closed needlessly.
    Given a check of heads that refuses all with status 404
    When a caller sends two requests without waiting
    Then both are refused with status 404

  Scenario: a caller that leaves after it has sent much ahead
    Guards against a target that goes on working for a caller that has left,
    since nobody reads any more what its caller sends.
    Given a handler that never returns
    When a caller sends a request, 90 KiB more, and closes its connection
    Then the handler is cancelled

  Scenario: more connections than there are descriptors for
    Guards against a process without descriptors, and against callers that are
    shut out by idle connections.
    Given a handler that echoes the request
    And an account for 5 connections
    When 20 idle connections are followed by a caller that sends a request
    Then it gets an answer
