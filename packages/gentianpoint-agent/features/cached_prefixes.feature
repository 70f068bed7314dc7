Feature: Prefixes that the engine's cache holds
  Cache events arrive late, and some never arrive. An agent that kept its set
  after a lost removal would attract calls to a target for a prefix that it no
  longer holds, and their first token would be late.

  Scenario Outline: events are applied, and a gap clears the set
    When the cache events <events> are read
    Then the prefixes are <prefixes>

    Examples: in order
      | events                  | prefixes |
      | 1+10 2+11               | 11 10    |
      | 1+10 2+11 3-10          | 11       |
      | 1+10 2+11 3+10          | 10 11    |
      | 1+10 1+10 2-10          | none     |
      | 1-10                    | none     |

    Examples: with gaps
      | events                  | prefixes |
      | 1+10 3+11               | 11       |
      | 1+10 2+11 5-11          | none     |
      | 1+10 2+11 until5        | none     |
      | 1+10 until3 4+12        | 12       |

    Examples: after a restart of the engine
      | events                  | prefixes |
      | 1+10 2+11 restart 1+12  | 12       |

  Scenario: the number of prefixes is bounded
    When 10000 prefixes are added one event each
    Then at most 4096 are kept, with the last one first

  Scenario: prefixes of a real engine are reported to entries
    Given an agent beside an engine
    When a prompt of 600 characters has been answered
    Then a report contains its two prefixes
