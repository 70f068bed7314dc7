Feature: Entries of targets that the log has in another order
  A write whose answer was lost may be executed seconds after a later one. What
  a target has said last counts, in whatever order the log has it.

  Scenario Outline: which of two entries was made later
    Given an entry of start <start> with number <number>
    And a known one of start <known_start> with number <known_number>
    Then the entry counts as <order>

    Examples:
      | start | number | known_start | known_number | order   |
      | 5     | 8      | 5           | 7            | later   |
      | 5     | 7      | 5           | 7            | same    |
      | 5     | 6      | 5           | 7            | earlier |
      | 6     | 1      | 5           | 7            | later   |
      | 4     | 9      | 5           | 7            | earlier |
      | 5     | 0      | 5           | 7            | unknown |
      | 5     | 8      | 5           | 0            | unknown |
      | 0     | 8      | 5           | 7            | later   |
      | 0     | 6      | 5           | 7            | earlier |
      | 5     | 6      | 0           | 7            | earlier |
      | 0     | 0      | 0           | 0            | unknown |

  Scenario Outline: a heartbeat that is executed after the target's notice
    Guards against requests to a target that leaves, which an older entry has
    called back.
    Given a list in which a has number 5 and serves
    When a writes number 8 and leaves
    And the log executes <late> late
    And the whole list is read again
    Then a gets no work for 10 s

    Examples:
      | late                       |
      | number 5, which serves     |
      | number 7, which serves     |
      | no number, which serves    |

  Scenario: a target that serves on after a late heartbeat
    Guards against a target that stays as an older entry has it.
    Given a list in which a has number 5 and serves
    When a writes number 8 with 3 slots
    And the log executes number 6 with 9 slots late
    Then a has 3 slots

  Scenario: a notice that is executed late
    Guards against a notice that is dropped with the entry that has it.
    Given a list in which a has number 5 and serves
    When a writes number 8 and serves
    And the log executes number 7, which leaves late
    Then a gets no work for 10 s

  Scenario Outline: a heartbeat that is executed after the entry was removed
    Guards against a target that has left and comes back until its entry
    expires.
    Given a list in which a has number 5 and <state>
    When the entry of a is removed
    And the log executes number <number>, which serves late
    And the entry of a expires 3.6 s later
    Then a gets no work for 10 s

    Examples:
      | state  | number |
      | serves | 4      |
      | serves | 5      |
      | serves | 6      |
      | leaves | 6      |
      | leaves | 4      |

  Scenario: a target whose entry had expired writes again
    Guards against a target that stays unused after it could not write.
    Given a list in which a has number 5 and serves
    When the entry of a is removed
    And a writes number 9 and serves
    And a writes number 10 and serves
    Then a gets work at once

  Scenario: a target whose entry stays in the list
    Guards against a target that stays unused as its entries have one number.
    Given a list in which a has number 5 and serves
    When the entry of a is removed
    And a writes number 5 and serves
    Then a gets work within 6 s

  Scenario: a target that counts its entries anew
    Guards against a target that stays unused for as long as it writes, as each
    of its entries is held back anew.
    Given a list in which a has number 50 and serves
    When the entry of a is removed
    And a counts its entries from 1 to 8, one each 1.2 s
    Then a gets work within 0 s

  Scenario: a later start under the same identifier
    Guards against a start that is taken for the one before.
    Given a list in which a has number 5 and leaves
    When the entry of a is removed
    And a later start of a writes number 1
    Then a gets work at once

  Scenario: entries of a writer that counts nothing
    Guards against a target whose entries are taken for old ones.
    Given a list in which a has no number and serves
    When a writes no number with 3 slots
    Then a has 3 slots

  Scenario: the list has an earlier start than the announcement
    Guards against an announced target that the list can't name, as clocks of
    an agent and its engine differ.
    Given a list that names no target yet
    When a is announced with a later start
    And a writes number 1 and serves
    Then a gets work at once

  Scenario Outline: an agent takes a notice back
    Guards against requests to a target that leaves, since a report of before
    comes late.
    Given a list in which a has number 5 and serves
    When the agent of a reports that it leaves
    And the agent of a reports that it serves
    And the entry of a <then>
    Then a gets no work for 10 s

    Examples:
      | then                    |
      | is written with number 6 |
      | is removed and written with numbers 6 and 7 |

  Scenario: a late report of the start before
    Guards against a target that is sent nothing that has to go there for as
    long as it runs.
    Given a list in which a has number 5 and serves
    When an agent that names no start reports that a leaves
    And an agent that names no start reports that a serves
    Then a may be sent what has to go there 10 s later

  Scenario Outline: a notice in a report
    Guards against requests to a target once the time after its notice is over.
    Given a list in which a has number 5 and serves
    When <agent> reports that <it> leaves
    Then a may not be sent what has to go there 10 s later

    Examples:
      | agent                         | it |
      | the agent of a                | it |
      | an agent that names no start  | a  |
