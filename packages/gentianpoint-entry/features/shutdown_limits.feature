Feature: Waiting calls get an answer when the shutdown time is over
  An entry that is stopped waits for its open calls, up to a time limit. It
  closes its connections soon after the limit.

  Scenario Outline: a caller waits for <what> as the shutdown time ends
  Guards against a connection reset, from which a caller can't tell whether
  its request ran, and against "not run" for a request that may have run.

    Given an entry whose agent never answers
    When a caller waits for <what>
    Then the entry counts the call as open
    And the caller gets <code> when the shutdown time is over
    And the entry counts no call as open
    And a later call gets <later> at once

    Examples:
      | what                          | code            | later           |
      | an answer                     | outcome_unknown | not_run         |
      | an answer that may run once   | not_run         | not_run         |
      | the start of an identifier    | outcome_unknown | outcome_unknown |
      | the rest of a generation      | incomplete      | incomplete      |
      | an identifier                 | not_run         | not_run         |
      | the claim of its key          | outcome_unknown | outcome_unknown |
      | the cancel of a generation    | outcome_unknown | outcome_unknown |
