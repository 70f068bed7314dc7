Feature: Moves of generations in the model
  A generation that may run once goes from an engine that leaves to another
  one, inside one answer. Answers are lost, engines die, have no room, or fall
  silent while they work on.

  Scenario Outline: moves hold in scope <scope>
    The goal is that the caller's answer has ended, whole or broken off.

    When all states of moves in scope <scope> are searched
    Then the search was exhaustive over at least <states> states
    And no property was broken
    And the goal can always still be reached

    Examples:
      | scope   | states |
      | calm    | 50     |
      | crowded | 200    |
      | dying   | 200    |
      | silent  | 200    |

  Scenario Outline: without <guard> moves break <property>
    When <guard> is taken out of moves in scope <scope>
    Then the checker finds how <property> breaks

    Examples:
      | guard         | scope   | property          |
      | stop_first    | calm    | runs_once         |
      | copy_once     | crowded | runs_once         |
      | after_last    | calm    | has_no_gap        |
      | silence_waits | silent  | runs_once         |
      | own_end       | crowded | complete_is_whole |

  Scenario: every guard of moves has a row above
    Then each guard of moves is taken out in this feature
