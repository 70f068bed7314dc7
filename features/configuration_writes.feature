Feature: Operators' writes are accepted once, or refused and told why
  Operators race one another, repeat themselves when an answer is lost, and
  make mistakes. Two who believe that both were accepted would find one
  service quietly changed back.

  Background:
    Given 2 entries that write a snapshot every 1000 records

  Scenario: of two operators who race, one is accepted and the other told so
    Two operators read the same revision and write through two entries at
    the same moment. One of them is told that the revision has moved on.

    When 2 operators race with the same base for 5 rounds
    Then in each round exactly one is accepted
    And the others are told the revision that won
    And all entries have the resources of the winners

  Scenario Outline: the log's reply is lost after the record was appended
    The log appends a write and its answer never arrives. The entry can't
    tell; it reads on, finds the write and answers with its outcome.

    When the log loses 1 reply by <way>
    And an operator declares the customer ana with the change <change>
    Then the change <change> is accepted
    And the log has 1 record more

    Examples:
      | way    | change |
      | status | c-1    |
      | drop   | c-2    |

  Scenario: a change that is sent again is applied once
    An operator's connection breaks before the answer, so the tool sends the
    same change through the other entry. Meanwhile someone wrote anew; the
    repeated change must not undo that.

    When an operator declares the customer ana with the change first
    And an operator declares the customer ana with the change second
    And the change first is sent again through every entry
    Then every answer tells the outcome of the change first
    And the customer ana is as the change second left it

  Scenario: two entries append the same change
    The log is slow, so a tool gives up at one entry and sends the change
    through the other: both have appended it.

    When the change twice is appended to the log 2 times
    Then the change twice is accepted at its first record

  Scenario: an identifier that was used for another write is refused
    When an operator declares the customer ana with the change first
    And an operator declares the customer eva with the change first
    Then the answer is refused naming change: first was the put of customer ana

  Scenario: a bad resource is refused with the field and the reason
    When an operator makes these writes
      | path           | spec                                 | reason                                |
      | services/a     | {"customers": []}                    | spec: 'kind' is a required property   |
      | services/a     | {"kind": "model", "customers": "*"}  | customers: '*' is not of type 'array' |
      | services/a     | {"kind": "x", "customers": []}       | kind: 'x' is not one of               |
      | services/a     | {"kind":"plain","customers":[],"priority":10} | priority: 10 is greater than |
      | services/a     | {"kind":"plain","customers":[],"y":1} | spec: Additional properties          |
      | services/a     | {"kind":"plain","customers":["a",1]} | customers[1]: 1 is not of type 'string' |
      | customers/a    | {"key_hashes": ["abc"]}              | key_hashes[0]: 'abc' does not match   |
      | customers/NO_A | {"key_hashes": []}                   | name: 'NO_A' does not match           |
      | others/a       | {}                                   | there are no resources others         |
      | services/a     | no JSON                              | JSON                                  |
    Then each is refused with its reason
    And nothing has changed

  Scenario: nobody reaches what isn't theirs
    When these calls are made
      | key of      | path                | status |
      | a customer  | /admin/v1/customers | 401    |
      | a customer  | /admin/v1/watch     | 401    |
      | a customer  | /peer/v1/state      | 401    |
      | an operator | /peer/v1/state      | 401    |
      | an operator | /v1/models          | 401    |
      | an operator | /admin/v1/customers | 200    |
      | a peer      | /peer/v1/state      | 200    |
      | a peer      | /admin/v1/customers | 401    |
    Then each is answered with its status
