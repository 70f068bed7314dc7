Feature: Placement of calls on targets
  An entry knows the load of targets only from reports that are out of date
  when they arrive. If it relied on them alone, all entries would choose the
  target that was idle a moment ago, and calls would queue there while other
  engines are idle.

  Scenario Outline: the less loaded of two targets gets the call
    Given target a in north that reports <a>
    And target b in north that reports <b>
    When 20 calls are placed without sending
    Then a gets <share> of them

    Examples:
      | a              | b              | share   |
      | memory 0.2     | memory 0.9     | all     |
      | memory 0.9     | memory 0.2     | none    |
      | memory 0.4     | memory 0.4     | some    |
      | wait 3000      | wait 0         | none    |
      | calls 12       | calls 3        | none    |
      | memory 0.2     | nothing        | all     |
      | memory 0.9     | nothing        | none    |
      | refusal        | memory 0.9     | none    |

  Scenario Outline: an old report counts less
    Given target a in north that reports memory 0.1
    And target b in north that reports memory 0.4
    When <seconds> s pass since a's last report
    And b reports memory 0.4 again
    And 20 calls are placed without sending
    Then a gets <share> of them

    Examples:
      | seconds | share |
      | 0       | all   |
      | 1       | all   |
      | 20      | none  |

  Scenario: calls that the entry sent count until the next report
    Given target a in north that reports memory 0.30
    And target b in north that reports memory 0.35
    When 40 calls are placed and sent
    Then a gets some of them
    And b has got at least 15

  Scenario Outline: a cached prefix attracts calls unless the target is full
    Given target a in north that reports memory <a>
    And target b in north that reports memory 0.4
    And target c in north that reports memory 0.4
    And a caches <held> of the 4 chunks of a prompt
    When 20 calls with that prompt are placed without sending
    Then a gets <share> of them

    Examples:
      | a    | held | share |
      | 0.5  | 4    | all   |
      | 0.95 | 4    | none  |
      | 0.5  | 0    | none  |
      | 0.6  | 2    | none  |

  Scenario Outline: the local data centre is preferred until it is full
    Given target a in north that reports <a>
    And target b in south that reports <b>
    When 20 calls are placed without sending
    Then a gets <share> of them

    Examples:
      | a          | b          | share |
      | memory 0.8 | memory 0.1 | all   |
      | memory 1.3 | memory 0.1 | none  |
      | refusal    | memory 0.1 | none  |
      | memory 1.3 | memory 1.2 | all   |

  Scenario: a slow target gets few calls until it recovers
    Given target a in north that reports pace 200
    And target b in north that reports pace 20
    And target c in north that reports pace 22
    When 100 calls are placed, one every 0.1 s, with fresh reports
    Then a has got at least 1
    And a has got at most 8
    When a reports pace 21 again
    And 60 calls are placed, one every 0.1 s, with fresh reports
    Then of the last 60 a has got 5 or more

  Scenario Outline: the baseline policies ignore the reported load
    Given target a in north that reports memory 0.1
    And target b in north that reports memory 0.9
    When 20 calls are placed by <policy>
    Then a gets <share> of them

    Examples:
      | policy             | share |
      | round_robin        | half  |
      | fewest_outstanding | half  |
