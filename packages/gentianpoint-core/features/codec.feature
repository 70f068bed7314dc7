Feature: Messages between entries and agents
  Bytes that are no valid message come from a peer of another version, from a
  stray client, or from damage on the way. The connection is closed with a
  reason in the log; the process goes on and other connections notice nothing.

  Scenario Outline: broken bytes are refused with a reason
    When the bytes <bytes> are decoded as a message
    Then the failure says <reason>

    Examples:
      | bytes        | reason       |
      | 00           | not a map    |
      | ff           | decode       |
      | a0           | unknown type |
      | a16474797065 | decode       |

  Scenario: arbitrary bytes never raise
    When arbitrary bytes are decoded as messages
    Then each gives a message or a failure

  Scenario: a message comes back as it was sent
    When a heartbeat is encoded and decoded
    Then it is the same message
