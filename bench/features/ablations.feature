Feature: One mechanism off at a time

  Scenario: a mechanism that was renamed
    What is switched off is found by its name in the code. Were that renamed, a
    row would replay the whole code, and the mechanism would look worthless and
    be removed. One that leaves a choice impossible gives no row at all.
    When each ablation is switched on in a process of its own, and chooses
    Then none of them fails
    And each policy that they name is known
