Feature: Processes of two versions work together
  During a rolling upgrade, a later version and this one fold the same records
  and exchange messages for hours. If they disagreed, one half of the hosts
  would serve callers that the other half refuses.

  Scenario: the rules of the fold are those of the first version
  Guards against a change, such as a new field, to the schema that the fold
  validates against. Old processes would accept a record that new ones refuse,
  their configurations would differ permanently, and no event would report it.

    Then the digest of the rules of the fold is 0a5e0281fcfb29d2

  Scenario: the rules of writers only extend the rules of the fold
  Guards against a later version that restricts an existing field. Its writers
  would guarantee operators something that old processes, and the records of
  old writers, do not comply with.

    Then writers check every field that the fold checks in the same way

  Scenario Outline: a write through an entry of a later version
  The resource has a field that is unknown to this version. If this version
  refused it while others accept it, the revisions would differ permanently.

    When a <kind> with <field> is folded
    Then the resource is in force with this field
    And this version reads it without <ignored>

    Examples:
      | kind     | field                         | ignored   |
      | service  | {"later": {"deep": [1, 2]}}   | later     |
      | customer | {"later": null}               | later     |

  Scenario Outline: a field with a value that only a later version can read
  The field was added after the rules of the fold were frozen, and a later
  version allows a value that this one can't read.

    When this version reads a service with <field>
    Then it reads it without <ignored>

    Examples:
      | field                            | ignored   |
      | {"objective": "of a later day"}  | objective |
      | {"max_queued": "many"}           | max_queued |

  Scenario: writers refuse a misspelled field
  The fold can't tell a misspelled field from a new one, but writers can: an
  operator who writes "prioritty" through an entry gets an error.

    Then a writer refuses a service with {"prioritty": 3}

  Scenario Outline: two peers negotiate a protocol version
    Given this code supports versions 2 to 4
    When a peer supports versions <oldest> to <newest>
    Then they use version <chosen>

    Examples:
      | oldest | newest | chosen |
      | 2      | 4      | 4      |
      | 1      | 2      | 2      |
      | 3      | 9      | 4      |
      | 4      | 4      | 4      |
      | 5      | 9      | none   |
      | 0      | 1      | none   |
