Feature: Snapshots of the configuration
  Records of the log expire, so the folded state is written to the log in
  parts. Parts get lost, come twice, mix with another writer's, or are
  damaged; a process that took such a state for whole would serve customers
  who were removed, or refuse those who were added.

  Scenario: a large state comes back from parts that the log takes
    Given a configuration of 6000 customers
    When it is split into parts
    Then there are at least 2 parts and each fits into a record
    And joining them gives the same configuration

  Scenario Outline: parts that went through trouble
    Given a configuration of 6000 customers
    When it is split into parts
    And the parts are <trouble>
    Then joining them <result>

    Examples:
      | trouble                    | result                          |
      | doubled                    | gives the same configuration    |
      | in another order           | gives the same configuration    |
      | mixed with another writer's| gives the same configuration    |
      | without the last           | fails with parts are there      |
      | damaged in the data        | fails with expand state         |
      | of a wrong digest          | fails with the digest is wrong  |
      | cut off in the data        | fails with cut off or too large |

  Scenario: arbitrary bytes are no part, no index entry and no state
    When arbitrary bytes are decoded as parts of snapshots
    Then none of them raises
