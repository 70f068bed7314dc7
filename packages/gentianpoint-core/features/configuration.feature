Feature: All processes fold the same configuration
  Records arrive in batches of any size, some twice, and a process may start
  from a snapshot. If two processes disagreed about a write, they would serve
  different customers, and nothing would report it.

  Scenario Outline: which writes are accepted
    Given the customer ana was declared at offset 1 with the key k1
    When a record <record> is folded at offset 2
    Then the record is <verdict>

    Examples:
      | record                                          | verdict                    |
      | {"base": 1}                                     | accepted                   |
      | {"base": -1}                                    | accepted                   |
      | {"base": 0}                                     | refused: revision is 1     |
      | {"base": 2}                                     | refused: revision is 1     |
      | {"name": "eva", "base": 0}                      | accepted                   |
      | {"name": "eva", "base": 1}                      | refused: revision is 0     |
      | {"action": "delete", "spec": {}}                | accepted                   |
      | {"action": "delete", "name": "eva", "spec": {}} | refused: no such resource  |
      | {"name": "eva", "keys": ["k1"]}                 | refused: key_hashes        |
      | {"keys": ["k1", "k2"]}                          | accepted                   |
      | {"spec": {"key_hashes": "no"}}                  | refused: key_hashes        |
      | {"change": "first"}                             | passed over                |
      | {"kind": "thing"}                               | passed over                |
      | {"name": "A B"}                                 | passed over                |
      | {"more": 1}                                     | passed over                |

  Scenario: bytes that are not a record change only the offset
    When arbitrary bytes are folded
    Then the offset has increased and there are no resources

  Scenario: batches, duplicates and snapshots don't change the result
    When arbitrary writes are folded record by record
    And folded again with duplicates and through a snapshot at each offset
    Then both states are equal

  Scenario: a record with a lower offset never changes the state
    A process that was paused reads records again that it has already folded.

    Given the customer ana was declared at offset 1 with the key k1
    When a record {"action": "delete", "spec": {}} is folded at offset 2
    And a record {"base": -1} is folded at offset 1
    Then the customer ana is removed and the offset is 2

  Scenario Outline: decoding a corrupt state fails
    Given the customer ana was declared at offset 1 with the key k1
    When its encoded state is <damage>
    Then decoding it fails

    Examples:
      | damage            |
      | without a line    |
      | with a line more  |
      | cut off           |
      | empty             |
