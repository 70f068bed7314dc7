Feature: Exchanges on kept connections
  Targets close connections, break off, and send bytes that belong to no
  request. Whether a request may be sent again hangs on what is made of that.

  Scenario Outline: what a target does on the first connection
    Two requests are sent one after the other, and the target does something
    odd after the first answer. A caller must get the answer to its own
    request, whatever lies on the connection.
    Given a target that on its first connection sends: <first>
    And that on its second connection sends: answer 2
    When requests 1 and 2 are sent
    Then the answers are of requests 1 and 2
    And there were <count> connections

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

  Scenario Outline: a request that fails
    Given a target that on its first connection sends: <first>
    When request 1 is sent
    Then it fails, and may have run

    Examples:
      | first                           |
      | half of answer 1 and close      |
      | half of answer 1 and reset      |
      | unframed answer 1 and reset     |
      | bytes that are no answer        |
      | nothing and close               |
      | late answer 7, late answer 7, late answer 7 |

  Scenario: nobody listens
    The target is gone and its host refuses connections. Not a byte was sent,
    so the request may be sent to another target whatever it is.
    Given an address where nobody listens
    When request 1 is sent
    Then it fails, and has surely not run
