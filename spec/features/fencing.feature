Feature: Orders to an engine in the model
  An agent is paused, another takes its place, and the first wakes up and
  sends an order for a model that nobody wants any more. Callers would get
  answers of the old version.

  Scenario Outline: orders hold in scope <scope>
    The goal is that the engine holds what the new agent wants and no order of
    the old one can come any more.

    When all states of fencing in scope <scope> are searched
    Then the search was exhaustive over at least <states> states
    And no property was broken
    And the goal can always still be reached

    Examples:
      | scope            | states |
      | checking         | 70     |
      | ignoring in time | 20     |
      | unloading | 70 |
      | unloading, ignoring | 20 |
      | changing role | 70 |
      | changing role, ignoring | 20 |

  Scenario: an engine that ignores fencing numbers is put right, not kept right
    The old agent sleeps between its check and its order, or its order sleeps
    on the way. No check of ours can hold it back; the engine holds the old
    version until the new agent compares.

    When all states of fencing in scope ignoring and late are searched
    Then only the property old_never_follows_new was broken
    And the goal can always still be reached

  Scenario Outline: without <guard> orders break <property>
    When <guard> is taken out of fencing in scope <scope>
    Then the checker finds how <property> breaks

    Examples:
      | guard                | scope            | property              |
      | fence_check          | checking         | old_never_follows_new |
      | fence_from_log       | checking         | old_never_follows_new |
      | lease_check          | ignoring in time | old_never_follows_new |
      | wait_out_old_lease   | ignoring in time | old_never_follows_new |
      | order_states_the_end | checking         | only_wanted_states    |
      | order_states_the_end | changing role | only_wanted_states |
      | fence_check | unloading | old_never_follows_new |
      | lease_check | unloading, ignoring | old_never_follows_new |
      | fence_check | changing role | old_never_follows_new |
      | calls_end_first | changing role | no_call_is_cut |
      | calls_end_first | unloading | no_call_is_cut |
      | lost_answer_holds | unloading | no_call_is_cut |

  Scenario Outline: without <guard> a late order stays in force
    When <guard> is taken out of fencing in scope <scope>
    Then the checker finds a state from which the goal is out of reach

    Examples:
      | guard               | scope             |
      | compare_with_report | ignoring and late |

  Scenario: every guard of orders has a row above
    Then each guard of fencing is taken out in this feature
