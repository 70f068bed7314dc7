Feature: When a refused request may run once
  An entry that lets it run once may cost a target, and clears the request at
  all entries if it was refused by mistake.

  Scenario Outline: when the next trial is due
    Guards against trials that end one target after the other, and against a
    request that is not tried any more once targets have recovered.
    Given a request is refused from second 100 on, as its last target ended at second <ended>
    And <number> trials of it were made, the last one at second <last>
    Then the next trial is due at second <due>

    Examples:
      | ended | number | last | due  |
      | 100   | 0      | 0    | 106  |
      | 130   | 0      | 0    | 136  |
      | 108   | 1      | 107  | 119  |
      | 120   | 2      | 119  | 143  |
      | 144   | 3      | 143  | 743  |
      | 744   | 4      | 743  | 1343 |

  Scenario: trials of an earlier refusal
    Guards against a request that is hardly ever tried, since it was refused
    once before.
    Given a request is refused from second 100 on, as its last target ended at second 100
    And 4 trials of it were made, the last one at second 50
    Then the next trial is due at second 106
    And the next claim has the number 1

  Scenario: several entries claim the same trial
    Guards against two entries that both make a trial, since each counts its
    own claim.
    Then of any claims to one trial all entries count the same one, in whichever order they hear them

  Scenario Outline: names of trials that other entries tell
    Guards against an entry that ends by what another release tells.
    Then the text "<text>" names <what>

    Examples:
      | text              | what                |
      | trial~2~10.0.0.1  | trial 2 of 10.0.0.1 |
      | trial~2~a~b       | trial 2 of a~b      |
      | trial~x~a         | no trial            |
      | trial~2           | no trial            |
      | i-123             | no trial            |
      | trial~-1~a        | no trial            |
