Feature: Turns in the model
  Targets take turns to read from the weight store, which is not to be read
  by more than its rate carries. Nobody gives the turns: only the order of
  records in the log decides, and targets read them late.

  Scenario Outline: turns hold in scope <scope>
    The goal is that every target that lives has read.

    When all states of turns in scope <scope> are searched
    Then the search was exhaustive over at least <states> states
    And no property was broken
    And the goal can always still be reached

    Examples:
      | scope         | states |
      | three targets | 100    |
      | late          | 100    |
      | dying         | 100    |

  Scenario Outline: without <guard> turns break <property>
    When <guard> is taken out of turns in scope <scope>
    Then the checker finds how <property> breaks

    Examples:
      | guard              | scope | property            |
      | earlier_start_wins | late  | one_reads           |
      | read_back          | late  | one_reads           |
      | holder_ends_first  | late  | one_reads           |
      | turn_check         | late  | reads_begin_in_time |

  Scenario Outline: without <guard> a dead target stops all
    When <guard> is taken out of turns in scope <scope>
    Then the checker finds a state from which the goal is out of reach

    Examples:
      | guard      | scope |
      | turn_ends  | dying |
      | place_ends | dying |

  Scenario: every guard of turns has a row above
    Then each guard of turns is taken out in this feature
