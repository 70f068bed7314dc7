Feature: Turns that one entry lends to another
  A turn has one owner, which lends it to one other entry at most.

  Scenario Outline: entries that lend and use turns in any order
    Guards against a turn that is used twice, and a limit that is exceeded, as
    messages are lost, late or come twice.
    Given <count> entries, of which all know each other
    And a target that takes <limit> requests a second, counted over <window> s
    When they ask each other for turns for 20 seconds, and <lost> in 100 messages are lost
    Then no turn is used twice
    And it gets at most <most> requests in any window
    And it gets <least> requests or more

    Examples:
      | count | limit | window | lost | most | least |
      | 3     | 20    | 1      | 0    | 26   | 360   |
      | 3     | 20    | 1      | 30   | 26   | 240   |
      | 29    | 20    | 4      | 10   | 101  | 300   |
      | 29    | 2     | 4      | 10   | 11   | 20    |

  Scenario: an owner that needs its turns
    Guards against an entry that lends what its own requests need.
    When an owner of 10 turns a second gets 4 requests a second, and one entry asks for all
    Then it lends between 40 and 60 in 100

  Scenario: two entries ask for the same turns
    Guards against turns that all go to the entry that asks first.
    When an owner of 10 turns a second gets 0 requests a second, and two entries ask for all
    Then each of them gets between 40 and 60 in 100
