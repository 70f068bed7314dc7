Feature: Snapshots of the configuration
  Records of the log expire, so the folded state is written to the log in
  parts. Parts may be lost, duplicated, interleaved with another writer's or
  corrupt. A process that accepted such a state would serve customers who were
  removed, or refuse customers who were added.

  Scenario: a large state is restored from parts that fit into log records
    Given a configuration of 6000 customers
    When it is split into parts
    Then there are at least 2 parts and each fits into a record
    And joining them gives the same configuration

  Scenario Outline: joining parts that were duplicated, reordered or damaged
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

  Scenario: decoding arbitrary bytes never raises
    When arbitrary bytes are decoded as parts, index entries and states
    Then no decoding raises
