Feature: Retries can't amplify an overload
  When targets refuse or die, every entry tries elsewhere, which loads the
  targets that are left. A budget bounds the tries; what is given up gets its
  final answer at once, with the time after which to come back.

  Scenario Outline: all targets refuse
  Every engine is full and says so. Requests are refused with a final answer;
  the offers stay under what the budget allows: one a request, a share of
  retries, a small reserve.

    Given a deployment of 1 entry and 3 targets with a retry share of <share>
    And the engines refuse starts
    When 60 requests are made one after another
    Then all are told not_run with when to come back
    And at most <offers> offers were made

    Examples:
      | share | offers |
      | 0.2   | 83     |
      | 0.0   | 71     |

  Scenario: all targets die
  Every agent is lost at once. Callers get a final answer at once instead of
  waiting for what can't come.

    Given a deployment of 1 entry and 3 targets with a retry share of 0.2
    And all agents are killed
    When 20 requests are made one after another
    Then all are told not_run with when to come back
    And at most 35 offers were made
