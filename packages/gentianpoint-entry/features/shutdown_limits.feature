Feature: Waits that end when the time of a shutdown is over
  An entry that was told to stop waits for its open calls, up to a limit. Its
  connections are cut soon after that.

  Scenario Outline: a caller waits for <what> as the time is over
  Guards against a caller that sees its connection reset, from which it can't
  tell whether its request ran, and against "not run" where it may have run.

    Given an entry whose agent answers nothing
    When a caller waits for <what>
    Then the entry counts it as open
    And at the end of its time it is told <code>
    And the entry counts nothing as open
    And one that comes later is told <later> at once

    Examples:
      | what                          | code            | later           |
      | an answer                     | outcome_unknown | not_run         |
      | an answer that may run once   | not_run         | not_run         |
      | the start of an identifier    | outcome_unknown | outcome_unknown |
      | the rest of a generation      | incomplete      | incomplete      |
      | an identifier                 | not_run         | not_run         |
      | the claim of its key          | outcome_unknown | outcome_unknown |
      | the cancel of a generation    | outcome_unknown | outcome_unknown |
