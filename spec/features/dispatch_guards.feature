Feature: Each guard of dispatch is needed
  Each guard is there since something can go wrong. When one is taken out the
  checker must find how the promise breaks, else the guard or the model is
  empty. The shortest way is printed.

  Scenario Outline: without <guard> the promise <property> breaks
    When <guard> is taken out of dispatch in scope <scope>
    Then the checker finds how <property> breaks

    Examples:
      | guard                            | scope       | property              |
      | start_deadline_check             | start       | no_late_start         |
      | repeated_call_check              | repeat      | starts_at_most_once   |
      | incarnation_check                | prepared    | starts_at_home        |
      | incarnation_check                | prepared    | starts_at_most_once   |
      | prepared_starts_once             | prepared    | starts_at_most_once   |
      | refused_identifier_is_spent      | prepared    | not_run_is_true       |
      | retract_is_acknowledged          | start       | not_run_is_true       |
      | unknown_retract_is_silent        | withdrawn   | not_run_is_true       |
      | repeated_attempt_attaches        | again       | not_run_is_true       |
      | new_connection_supersedes        | again       | not_run_is_true       |
      | lost_offer_is_not_repeated       | start       | starts_at_most_once   |
      | lost_offer_is_unknown            | start       | not_run_is_true       |
      | every_attempt_refused            | retry       | not_run_is_true       |
      | lost_start_reply_is_unknown      | start       | not_run_is_true       |
      | lost_start_reply_is_unknown      | start       | starts_at_most_once   |
      | no_retry_after_delivery          | retry       | items_are_in_order    |
      | closed_connection_check          | retry       | items_are_in_order    |
      | closed_connection_check          | repeat      | not_run_is_true       |
      | item_number_check                | repeat      | items_are_in_order    |
      | call_numbers_are_unique          | two callers | answers_are_own       |
      | final_answer_once                | repeat      | one_final_answer      |
      | explicit_incomplete              | repeat      | one_final_answer      |
      | end_count_check                  | repeat      | ends_are_whole        |
      | only_home_says_not_run           | prepared    | not_run_is_true       |
      | identifier_comes_with_first_item | stream      | not_run_is_true       |
      | cancel_is_acknowledged           | prepared    | no_start_after_cancel |
      | adopted_is_only_read             | adopted     | starts_at_most_once   |
      | adopted_is_only_read             | adopted     | starts_at_home        |
      | adopted_is_at_the_engine         | two homes   | no_start_after_cancel |

  Scenario: every guard of dispatch has a row above
    Then each guard of dispatch is taken out in this feature
