Feature: Callers' connections
  What callers send is passed on byte by byte, and an answer that ends early
  never looks whole.

  Scenario Outline: requests in any form
    Given a handler that repeats what it was given
    When a caller sends a <form>
    Then it is given back as <method> <target> with the body <body>

    Examples:
      | form                  | method | target      | body  |
      | plain request         | GET    | /a/b        |       |
      | request with odd path | GET    | /a%2Fb/?    |       |
      | request with a query  | GET    | /a?x=1&&y=% |       |
      | request with a length | POST   | /a          | hello |
      | request in chunks     | POST   | /a          | hello |

  Scenario: two requests on one connection at once
    Given a handler that repeats what it was given
    When a caller sends two requests without waiting
    Then both are answered in order

  Scenario Outline: what can't be read
    Given a handler that repeats what it was given
    When a caller sends a <form>
    Then it is answered with status <status> and the connection ends

    Examples:
      | form                    | status |
      | head that is none       | 400    |
      | body over the limit     | 413    |
      | chunk that is none      | 400    |

  Scenario: an answer that can't be finished
    The target broke off, and nothing could go on. A caller that saw an
    orderly end would take half a report for a whole one.
    Given a handler that stops in the middle of its answer
    When a caller sends a plain request
    Then the caller's connection is reset

  Scenario: a fault in serving one request
    Guards against a request that ends without a final answer.
    Given a handler that raises an error nobody expects
    When a caller sends a plain request
    Then it is answered with status 502 and the connection ends

  Scenario: a fault in the middle of an answer
    Guards against half an answer that ends like a whole one.
    Given a handler that raises an error in the middle of its answer
    When a caller sends a plain request
    Then the caller's connection is reset

  Scenario: a caller that leaves
    The caller closes its connection while its report is being written. The
    target has to stop, or it would work on for nobody.
    Given a handler that waits for ever
    When a caller sends a plain request and closes its connection
    Then the handler is cancelled

  Scenario: an entry that leaves
    Given a handler that repeats what it was given
    And an entry that leaves
    When a caller sends a request on a kept connection
    Then the answer says that the connection closes

  Scenario: the first request of a new connection comes as idle ones close
    Guards against a caller that has just connected to a leaving entry, and
    whose request is then read and dropped without an answer.
    Given a handler that repeats what it was given
    And an entry that leaves
    When a caller connects, idle connections are closed, and it sends a request
    Then it gets an answer

  Scenario: a request crosses the closing of a kept connection
    Guards against a request that is read on a connection that the entry has
    closed: its caller may only send it again if it was not read.
    Given a handler that repeats what it was given
    And an entry that leaves
    When a caller that has been answered sends again as idle ones close
    Then its second request is not read

  Scenario Outline: an entry that leaves while a request arrives
    Guards against an entry that ends with a request half read, though it has
    the time to serve it.
    Given a handler that repeats what it was given
    And an entry that leaves
    When a caller sends half of a <form>
    Then the entry counts as busy
    And it is busy no more once the caller has its answer

    Examples:
      | form                         |
      | plain request                |
      | request with a length        |
      | request on a kept connection |

  Scenario: a caller reads nothing as its entry ends
    Guards against a process that waits for a stalled caller until it is
    killed.
    Given a handler whose answer is longer than its caller reads
    When the time for writing ends 200 ms after the request
    Then the handler learns that its caller is gone
