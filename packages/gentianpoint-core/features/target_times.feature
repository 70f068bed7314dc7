Feature: Predicted times at targets, and whether their paces differ

  Scenario Outline: whether paces differ
    Guards against predicted times where engines are alike, which would add
    noise to the choice, and against engines of two speeds that are treated
    alike.
    When targets report steps of <steps> us
    Then their paces <words>

    Examples:
      | steps                              | words      |
      | 7000 7000 7000 7000 17000 17000    | differ     |
      | 7000 7000 17000 17000 0 0          | differ     |
      | 7000 8000 9000 9000 9500 9900      | are alike  |
      | 9000 9000 9000 9000 9000 90000     | are alike  |
      | 7000 17000 17000                   | are alike  |
      | 7000 17000 0 0 0 0 0 0             | are alike  |
      | 0 0 0 0                            | are alike  |
      | 7000 7000 17000 17000 0 0 0 0      | differ     |
      | 9000 9000 9000 9000 0 0 0 0        | are alike  |
      | -7000 -7000 9000 9000 9000 9000    | are alike  |

  Scenario: paces near the limit
    Guards against a choice that goes back and forth as paces vary a little.
    When the ratio of the paces' quartiles is 1.25 1.35 1.25 1.2 1.35 1.1 1.25
    Then their paces were alike, different, different, different, different, alike, alike

  Scenario Outline: a target of unknown pace
    Guards against a new target that gets everything or nothing.
    Given targets with steps of 10000 us and prefill times of 200000 us
    When a target has steps of <step> us and a prefill time of <prefill> us
    Then it counts as one with steps of <as step> us and a prefill time of <as prefill> us

    Examples:
      | step  | prefill | as step | as prefill |
      | 0     | 0       | 10000   | 200000     |
      | 20000 | 0       | 20000   | 400000     |
      | 0     | 100000  | 5000    | 100000     |
      | -5    | -5      | 10000   | 200000     |
      | 15000 | 210000  | 15000   | 210000     |
