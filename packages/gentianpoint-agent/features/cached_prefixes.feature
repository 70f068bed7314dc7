Feature: What the engine's cache is believed to hold
  Cache events come late and some never come. An agent that went on believing
  after a lost removal would draw calls to a target for a prefix that is long
  gone, and their first token would come late.

  Scenario Outline: events are followed, and a gap empties the belief
    When the cache events <events> are read
    Then the belief is <belief>

    Examples: in order
      | events                  | belief |
      | 1+10 2+11               | 11 10  |
      | 1+10 2+11 3-10          | 11     |
      | 1+10 2+11 3+10          | 10 11  |
      | 1+10 1+10 2-10          | none   |
      | 1-10                    | none   |

    Examples: with gaps
      | events                  | belief |
      | 1+10 3+11               | 11     |
      | 1+10 2+11 5-11          | none   |
      | 1+10 2+11 until5        | none   |
      | 1+10 until3 4+12        | 12     |

    Examples: after a restart of the engine
      | events                  | belief |
      | 1+10 2+11 restart 1+12  | 12     |

  Scenario: the belief is bounded
    When 10000 prefixes are added one event each
    Then at most 4096 are believed, with the last one first

  Scenario: prefixes of a real engine are reported to entries
    Given an agent beside an engine
    When a prompt of 600 characters has been answered
    Then a report names its two prefixes
