Feature: Messages between entries and agents
  Invalid messages come from a peer of another version, from an unrelated
  client, or from data corruption. The connection is closed and the reason is
  logged; the process and its other connections continue.

  Scenario Outline: invalid bytes are rejected with a reason
    When the bytes <bytes> are decoded as a message
    Then the failure contains <reason>

    Examples:
      | bytes        | reason       |
      | 00           | not a map    |
      | ff           | decode       |
      | a0           | unknown type |
      | a16474797065 | decode       |

  Scenario: decoding arbitrary bytes never raises
    When arbitrary bytes are decoded as messages
    Then each result is a message or a failure

  Scenario: decoding an encoded message returns the same message
    When a heartbeat is encoded and decoded
    Then the decoded message equals the original
