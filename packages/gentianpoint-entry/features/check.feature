Feature: A deploy folder is checked before a start
  What is wrong with it shows else only once hosts have been taken.

  Scenario: the project's own folder
    Given the project's deploy folder
    When it is checked
    Then nothing is wrong

  Scenario Outline: one thing that is wrong
    Given a deploy folder whose <field> is <value>
    When it is checked
    Then one line says "<problem>"

    Examples:
      | field         | value                 | problem                                 |
      | build         | ""                    | build is no command                     |
      | entry         | 3                     | role entry is no table                  |
      | entry.run     | "python3 gone.py"     | role entry: its program gone.py is missing |
      | entry.run     | ""                    | role entry: run is no command           |
      | entry.on      | "middle"              | role entry: on is none of front, side   |
      | entry.share   | 1.5                   | role entry: share is not above 0 and at most 1 |
      | entry.share   | nan                   | role entry: share is not above 0 and at most 1 |
      | agent.count   | 0.5                   | role agent: count is no whole number above 0 |
      | entry.count   | 2                     | role entry: both share and count are given |
      | entry.serves  | ["front", "callers"]  | role entry: serves 'callers'            |
      | entry.serves  | ["control"]           | no role serves front                    |
      | agent.on      | "front"               | 2 roles on front serve control          |
      | entry.metrics | "99999/metrics"       | role entry: metrics is no PORT/PATH     |
      | entry.template | "gone.txt"           | role entry: its template gone.txt is missing |
      | entry.env     | { lower = "a" }       | role entry: env has 'lower'             |

  Scenario: several things are wrong
    They are told at once, or each start would bring up the next one.
    Given a deploy folder whose entry.on is "middle"
    And its agent.run is "python3 gone.py"
    When it is checked
    Then 2 lines tell what is wrong

  Scenario Outline: days that can't be played
    Given a deploy folder with the day <text>
    When it is checked
    Then one line says "<problem>"

    Examples:
      | text                                         | problem                        |
      | name = "a                                    | day.toml                       |
      | faults = [{ kind = "burst", at = 1.0 }]      | the day has no name            |
      | name = "a"                                   | the day has no plan and no faults |
      | name = "a"; plan = [{ at = 1.0 }]            | trouble 1 has no kind          |
      | name = "a"; plan = [{ kind = "burst" }]      | trouble 1 has no time          |

  Scenario: there is no such folder
    Given a folder that is missing
    When it is checked
    Then one line says "system.toml"

  Scenario Outline: settings of a process
    Given the project's deploy folder
    And settings <change>
    When it is checked
    Then one line says "<problem>"

    Examples:
      | change                            | problem                      |
      | without bounds                    | 'bounds' is missing          |
      | whose ip is no address            | is no IP number with port    |
      | without an address for callers    | front is missing             |
      | that are no TOML                  | settings.toml                |

  Scenario: settings that are right
    Given the project's deploy folder
    And settings that are right
    When it is checked
    Then nothing is wrong
