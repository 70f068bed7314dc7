Feature: A deploy folder is checked before a deployment starts
  Without the check, its problems are found only once hosts are reserved.

  Scenario: the deploy folder of the project has no problems
    Given the project's deploy folder
    When the folder is checked
    Then no problems are found

  Scenario Outline: one problem in a deploy folder
    Given a deploy folder whose <field> is <value>
    When the folder is checked
    Then the only line printed contains "<problem>"

    Examples:
      | field          | value                | problem                                          |
      | build          | ""                   | build must be a command                          |
      | entry          | 3                    | role entry must be a table                       |
      | entry.run      | "python3 gone.py"    | role entry: its program gone.py does not exist   |
      | entry.run      | ""                   | role entry: run must be a command                |
      | entry.on       | "middle"             | role entry: on must be one of front, side        |
      | entry.share    | 1.5                  | role entry: share must be above 0 and at most 1  |
      | entry.share    | nan                  | role entry: share must be above 0 and at most 1  |
      | agent.count    | 0.5                  | role agent: count must be a whole number above 0 |
      | entry.count    | 2                    | role entry: share and count cannot both be given |
      | entry.serves   | ["front", "callers"] | role entry: serves 'callers'                     |
      | entry.serves   | ["control"]          | no role serves front                             |
      | agent.on       | "front"              | 2 roles on front serve control                   |
      | entry.metrics  | "99999/metrics"      | role entry: metrics must be PORT/PATH            |
      | entry.template | "gone.txt"           | role entry: its template gone.txt does not exist |
      | entry.env      | { lower = "a" }      | role entry: env has 'lower'                      |

  Scenario: several problems are reported at once
    If only the first were reported, each start would fail with the next one.
    Given a deploy folder whose entry.on is "middle"
    And its agent.run is "python3 gone.py"
    When the folder is checked
    Then 2 problems are reported

  Scenario Outline: invalid day files
    Given a deploy folder with the day <text>
    When the folder is checked
    Then the only line printed contains "<problem>"

    Examples:
      | text                                    | problem                           |
      | name = "a                               | day.toml                          |
      | faults = [{ kind = "burst", at = 1.0 }] | the day has no name               |
      | name = "a"                              | the day has no plan and no faults |
      | name = "a"; plan = [{ at = 1.0 }]       | event 1 has no kind               |
      | name = "a"; plan = [{ kind = "burst" }] | event 1 has no valid time         |

  Scenario: the folder does not exist
    Given a folder that does not exist
    When the folder is checked
    Then the only line printed contains "system.toml"

  Scenario Outline: invalid settings of a process
    Given the project's deploy folder
    And settings <change>
    When the folder is checked
    Then the only line printed contains "<problem>"

    Examples:
      | change                         | problem                   |
      | without bounds                 | 'bounds' is missing       |
      | whose ip is not an address     | is no IP number with port |
      | without an address for callers | front is missing          |
      | that are not TOML              | settings.toml             |

  Scenario: valid settings of a process
    Given the project's deploy folder
    And settings that are valid
    When the folder is checked
    Then no problems are found
