Feature: Selection among engines of different paces

  Scenario Outline: slow engines
    Guards against slow engines that get as much as fast ones, so that what
    runs there is late.
    Given engines that take <speeds> times as long
    When 300 generations are sent, <rate> a second
    Then each engine that takes <slow> times as long gets at most <most> of them

    Examples:
      | speeds                        | rate | slow | most |
      | 0.7 0.7 1.7 0.7 0.7 1.7       | 12   | 1.7  | 45   |
      | 0.7 0.7 1.7 0.7 0.7 10.0 1.7  | 12   | 10.0 | 3    |
      | 1.0 1.0 1.0 10.0              | 6    | 10.0 | 3    |

  Scenario: fast engines that are full
    Guards against a slow engine that is never used, while fast ones are given
    more than they can do.
    Given engines that take 0.7 0.7 1.7 1.7 times as long
    When 300 generations are sent, 12 a second
    Then each engine that takes 1.7 times as long gets at least 20 of them

  Scenario: half of the engines are new at once
    Guards against new engines, whose paces are not known yet, that get all or
    nothing.
    Given engines that take 0.7 0.7 1.7 1.7 0.7 0.7 1.7 1.7 times as long
    And the last 4 of them are new
    When 300 generations are sent, 16 a second
    Then the new engines get between 90 and 210 of them

  Scenario Outline: engines whose paces don't differ
    Guards against choices that change where engines are alike.
    Given engines that take <speeds> times as long
    When 300 generations are sent, 12 a second
    Then each goes to the engine to which it goes without paces

    Examples:
      | speeds                  |
      | 1.0 1.0 1.0 1.0 1.0 1.0 |
      | 1.0 1.0 1.1 1.1 1.2 1.2 |
      | 0.7 1.7 1.7             |

  Scenario: reports stop
    Guards against an engine that gets everything because its last report shows
    it fast and idle. What was sent since counts at its pace.
    Given engines that take 0.7 0.7 0.7 1.7 1.7 1.7 times as long
    When 60 generations are sent, 20 a second, without reports
    Then each engine that takes 0.7 times as long gets at most 30 of them

  Scenario Outline: paces that can't be true
    Guards against a choice that fails or goes astray by one engine's numbers.
    Given engines that take 0.7 0.7 1.7 1.7 0.7 times as long
    When one of them reports steps of <step> us and a prefill time of <prefill> us
    Then a target is chosen

    Examples:
      | step                | prefill             |
      | -1                  | -1                  |
      | 0                   | 4611686018427387904 |
      | 4611686018427387904 | 0                   |
      | 4611686018427387904 | 4611686018427387904 |
      | 1                   | 1                   |

  Scenario: the log tells when paces begin and cease to differ
    Guards against an operator who can't see why slow engines get less.
    Given engines that take 0.7 0.7 1.7 1.7 times as long
    When an entry chooses among them, and again once all take 1.0 times as long
    Then it logs first that their paces differ, then that they no longer do
