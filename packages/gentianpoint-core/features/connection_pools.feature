Feature: Requests on pooled connections
  Targets close connections, stop in the middle of a response, and send bytes
  that belong to no request. Whether a request may be retried depends on
  interpreting this correctly.

  Scenario Outline: unexpected data or a close after a response
    Two requests are sent one after the other, and the target does something
    unexpected after the first response. Each caller must get the response to
    its own request, whatever other data is on the connection.
    Given a target that on its first connection sends: <first>
    And that on its second connection sends: answer 2
    When requests 1 and 2 are sent
    Then the responses belong to requests 1 and 2
    And <count> connections were opened

    Examples:
      | first                              | count |
      | answer 1, answer 2                 | 1     |
      | answer 1 with bytes after it       | 2     |
      | answer 1 and close                 | 2     |
      | answer 1 saying close              | 2     |
      | answer 1, late answer 1, answer 2  | 1     |
      | unframed answer 1 and close        | 2     |
      | answer 1 saying timeout 5, answer 2 | 1    |
      | answer 1 saying timeout 1, answer 2 | 2    |
      | answer 1 saying timeout of 400 digits, answer 2 | 1 |
      | answer 1 saying timeout of 5000 digits, answer 2 | 1 |

  Scenario: a call whose response bears no identifier
    Guards against a response that is taken for the one to another call, when a
    second one comes late on a connection that is in use again.
    Given a target that on its first connection sends: answer 1, late answer 1, answer 2
    And that on its second connection sends: answer 2
    When request 1 is sent, and 2 as a call that its response can't identify
    Then the responses belong to requests 1 and 2
    And 2 connections were opened

  Scenario Outline: a request that fails
    Given a target that on its first connection sends: <first>
    When request 1 is sent
    Then it fails and may have run
    And the target <did> the connection

    Examples:
      | first                           | did           |
      | half of answer 1 and close      | closed        |
      | half of answer 1 and reset      | closed        |
      | unframed answer 1 and reset     | closed        |
      | bytes that are no answer        | did not close |
      | answer 1 folded                 | did not close |
      | answer 1 with status 000        | did not close |
      | answer 1 with status 000 after 103 | did not close |
      | answer 1 with status 0000       | did not close |
      | late answer 7, answer 1 with status 000 | did not close |
      | late answer 7 with status 000, answer 1 | did not close |
      | nothing and close               | closed        |
      | late answer 7, late answer 7, late answer 7 | did not close |

  Scenario: the connection is refused
    The target has stopped and its host refuses connections. No byte was sent,
    so even a non-idempotent request may be sent to another target.
    Given an address without a listener
    When request 1 is sent
    Then it fails and certainly has not run

  Scenario: parts of a body that are read at once
    Guards against a turn of the scheduler for each chunk, for which a busy
    process has no time.
    Given a target that on its first connection sends: answer 1 in 6 chunks
    When request 1 is sent
    Then its body came whole, in 1 part

  Scenario Outline: a target answers before it has read a long body
    Guards against an answer that is lost because the rest of its request could
    not be sent: its caller would be told that the outcome is unknown.
    Given a target that on its first connection sends: <first>
    When request 1 is sent with a body of 8 MiB
    Then its body came whole

    Examples:
      | first                         |
      | answer 1 and close            |
      | answer 1 saying close and close |

  Scenario: a target closes before it has read a long body
    Given a target that on its first connection sends: nothing and close
    When request 1 is sent with a body of 8 MiB
    Then it fails and may have run

  Scenario: a header with a line end
    Guards against a header of a request that becomes two.
    Given a target that on its first connection sends: answer 1
    When request 1 is sent with a line end in a header
    Then it fails and certainly has not run
