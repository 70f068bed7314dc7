Feature: Processes of two versions work together
  Hosts are replaced one by one, so for hours a later version and this one
  fold the same records and speak with one another. Were they to disagree,
  callers would be served by one half and refused by the other.

  Scenario: the rules of the fold are those of the first version
  Somebody adds a field to the file that the fold checks against. Old
  processes would accept a record that new ones refuse, each would go on with
  a configuration of its own, and no event would tell.

    Then the digest of the rules of the fold is 0a5e0281fcfb29d2

  Scenario: what writers check only adds to the rules of the fold
  A later version narrows a field that exists. Its writers would promise
  operators what old processes, and records of old writers, don't keep.

    Then writers check every field that the fold checks in the same way

  Scenario Outline: a write through an entry of a later version
  The resource has a field that this version has never heard of. If it were
  refused here while others accept it, its revision would differ for good.

    When a <kind> with <field> is folded
    Then the resource is in force with this field
    And this version reads it without <ignored>

    Examples:
      | kind     | field                         | ignored   |
      | service  | {"later": {"deep": [1, 2]}}   | later     |
      | customer | {"later": null}               | later     |

  Scenario Outline: a field that is read otherwise by a later version
  The field came after the rules of the fold were frozen, and a later version
  allows a value that this one can't read.

    When this version reads a service with <field>
    Then it reads it without <ignored>

    Examples:
      | field                            | ignored   |
      | {"objective": "of a later day"}  | objective |
      | {"max_queued": "many"}           | max_queued |

  Scenario: a field that came later is refused when it is mistyped
  Only writers can tell a mistyped field from a new one; an operator who
  writes "prioritty" through an entry is told so.

    Then a writer refuses a service with {"prioritty": 3}

  Scenario Outline: the version that two peers speak
    Given this code speaks versions 2 to 4
    When a peer speaks versions <oldest> to <newest>
    Then they speak version <chosen>

    Examples:
      | oldest | newest | chosen |
      | 2      | 4      | 4      |
      | 1      | 2      | 2      |
      | 3      | 9      | 4      |
      | 4      | 4      | 4      |
      | 5      | 9      | none   |
      | 0      | 1      | none   |
