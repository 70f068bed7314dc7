Feature: News of limits that targets name
  Limits change and end, and some entries do not hear of it at once.

  Scenario Outline: an entry that could not hear of a limit
    Guards against an entry that sends as if there were no limit, since it was
    not there, or heard of nothing, as the others met the limit.
    Given 5 entries before 3 targets
    And from 2 s on all of them name a limit of 2
    And one of the entries <what>
    When 20 requests a second come for 24 seconds
    Then from 3 s after that on no target gets more in any 4 s than it may

    Examples:
      | what                                                 |
      | starts at 8 s, and gets all requests from 9 s on     |
      | starts at 8 s, and gets all requests from 11 s on    |
      | hears from no other from 1 s to 10 s                 |
      | stands still from 1 s to 10 s, and then gets all requests |
      | hears from no other from 1 s on, and gets all requests |

  Scenario Outline: a limit that changes
    Guards against entries that keep to what a target said earlier.
    Given <count> entries before 3 targets
    And from 2 s on all of them name a limit of <first>
    And from 14 s on all of them name <then>
    When <load> requests a second come for 30 seconds
    Then from 3 s after that on no target gets more in any 4 s than it may
    And from 3 s after that on <outcome>

    Examples:
      | count | first | then           | load | outcome                                  |
      | 5     | 8     | a limit of 1   | 20   | some requests are refused                |
      | 5     | 1     | a limit of 20  | 20   | all requests are served                  |
      | 29    | 1     | a limit of 20  | 20   | all requests are served                  |
      | 5     | 1     | no limit       | 20   | all requests are served                  |
      | 5     | 2     | the value fast | 20   | some requests are refused                |
      | 5     | 2     | the value 5, 2 | 20   | some requests are refused                |
      | 5     | 2     | the value inf  | 20   | some requests are refused                |
