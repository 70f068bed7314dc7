Feature: Idempotency keys in the model
  A caller sends one billed report again and again under one key, through
  whatever entry answers. It would be billed twice if two of them started it.

  Scenario Outline: keys hold in scope <scope>
    The goal is that every call has its answer, or has lost its entry.

    When all states of claims in scope <scope> are searched
    Then the search was exhaustive over at least <states> states
    And no property was broken
    And the goal can always still be reached

    Examples:
      | scope      | states |
      | race       | 1000   |
      | loss       | 1000   |
      | expiry     | 1000   |
      | other body | 50     |

  Scenario Outline: without <guard> keys break <property>
    When <guard> is taken out of claims in scope <scope>
    Then the checker finds how <property> breaks

    Examples:
      | guard                | scope      | property            |
      | claim_before_start   | race       | starts_at_most_once |
      | append_decides       | race       | starts_at_most_once |
      | read_on              | race       | not_run_is_true     |
      | expired_is_unknown   | expiry     | starts_at_most_once |
      | home_gone_is_unknown | loss       | starts_at_most_once |
      | key_keeps_identifier | loss       | not_run_is_true     |
      | outage_is_unknown    | loss       | not_run_is_true     |
      | request_digest_check | other body | answers_are_own     |

  Scenario: every guard of keys has a row above
    Then each guard of claims is taken out in this feature
