Feature: Prepared identifiers keep their promises in the model
  A caller asks for an identifier first and starts it with a second call, which
  it repeats through another entry after any loss. Meanwhile the first entry
  goes on, and the agent is replaced, dies or wakes up late. The billed report
  must run once at most, whoever asks for it how often.

  Scenario Outline: every promise holds in scope <scope>
    When all states of dispatch in scope <scope> are searched
    Then the search was exhaustive over at least <states> states
    And no property was broken
    And the goal can always still be reached

    Examples:
      | scope     | states |
      | prepared  | 72000  |
      | withdrawn | 61000  |
      | adopted   | 50000  |
      | two homes | 36000  |

  Scenario Outline: the answer <answer> occurs in scope <scope>
    When a way to the answer <answer> in scope <scope> is searched
    Then one is found

    Examples:
      | scope     | answer          |
      | prepared  | end             |
      | prepared  | not_run         |
      | prepared  | outcome_unknown |
      | prepared  | cancelled       |
      | withdrawn | not_run         |
      | adopted   | incomplete      |
      | two homes | cancelled       |

  Scenario Outline: an answer goes on at a later agent in scope <scope>
    When a way to read on at a later agent in scope <scope> is searched
    Then one is found

    Examples:
      | scope     |
      | adopted   |
      | two homes |
