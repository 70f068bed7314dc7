Feature: Operators drive the system from the command line
  The same resources by files and commands. A script must be able to trust
  the exit code, and an operator must see which field was wrong and why.

  Background:
    Given 2 entries and 1 target that serve while the log is fine

  Scenario: resources are applied, shown, watched and deleted
    When the operator applies the file
      """
      kind: service
      name: modelo-taller
      spec: {kind: model, customers: ["*"], priority: 7}
      ---
      kind: customer
      name: eva
      spec: {key_hashes: []}
      """
    Then the exit code is 0
    And the output says service/modelo-taller accepted
    And the output says customer/eva accepted
    And the output says in force on 3 of 3
    When the operator runs get services modelo-taller -o json
    Then the output says "priority": 7
    When the operator watches customers until eva is shown
    And the operator runs delete customers eva
    Then the exit code is 0
    When the operator runs get customers eva
    Then the exit code is 3
    And the output says there is no customers/eva

  Scenario: a data centre is evacuated, shown and taken back
    When the operator runs evacuate zona-norte
    Then the exit code is 0
    And the output says zona-norte evacuated
    When the operator repeats evacuations until it says 1 of 1 connected agents
    And the operator runs evacuate zona-norte --end
    Then the exit code is 0
    And the output says zona-norte taken back
    When the operator repeats evacuations until it says nothing
    And an operator with a wrong key runs evacuate zona-norte
    Then the exit code is 3

  Scenario: more resources than one answer holds
    When 620 customers more are declared
    And the operator runs get customers
    Then the output has 622 lines
    When the operator asks for a page of 501 customers
    Then the page is refused naming limit

  Scenario: the next entry is tried when one can't be reached
    When the first entry is killed
    And the operator applies the file
      """
      {"kind": "customer", "name": "eva", "base": 0, "spec": {"key_hashes": []}}
      """
    Then the exit code is 0
    And the output says customer/eva accepted

  Scenario: a write whose answer was lost is made once
    The entry takes the write, and the connection breaks before the answer.
    The tool sends the same change through the next entry. A second change
    would be refused, since the customer would then exist already.

    When answers of the first entry are withheld from the operator
    And the operator starts to apply the file
      """
      {"kind": "customer", "name": "eva", "base": 0, "spec": {"key_hashes": []}}
      """
    And the first entry has accepted it and the connection breaks
    Then the command ends with 0 and says customer/eva accepted

  Scenario: no entry can be reached
    When the first entry is killed
    And the last entry is killed
    And the operator runs get services
    Then the exit code is 3
    And the output says every entry

  Scenario: files and writes that are refused
    When the operator applies these files
      | file                                               | code | says                                    |
      | {kind: service, name: a, spec: {kind: x, customers: []}} | 1 | document 1: kind: 'x' is not one of  |
      | {kind: service, name: a}                           | 1    | missing required field `spec`           |
      | {kind: thing, name: a, spec: {}}                   | 1    | $.kind                                  |
      | {kind: customer, name: a, spec: {}, more: 1}       | 1    | unknown field `more`                    |
      | {kind: customer, name: A_B, spec: {key_hashes: []}} | 1   | customer/A_B refused: name: 'A_B'       |
      | {kind: customer, name: another, base: 0, spec: {key_hashes: []}} | 1 | refused: revision is       |
      | "{kind: ["                                         | 1    | read manifest                           |
      | text                                               | 1    | Expected `object`                       |
    Then each ends with its code and says what is wrong
    When the operator runs get things
    Then the exit code is 2
    And the output says neither services nor customers
    When an operator with a wrong key runs get services
    Then the exit code is 3
    And the output says no operator's
