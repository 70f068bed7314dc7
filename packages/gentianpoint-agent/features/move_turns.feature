Feature: Generations leave an engine one at a time
  An engine has one link for the memory of all its generations, and two
  seconds before it goes.

  Scenario: several entries want to move their generations at once
    Copies that run side by side all take as long as all together, and each
    generation stands still for that time. One after the other, the smallest
    first, most get away.
    Given generations a of 5000, b of 3000 and c of 4000 tokens that want to move
    Then the turns go to a, b, c as each is given back

  Scenario: an entry stops with the turn
    The entry that moves a generation is killed. The others must not wait for
    it until the engine has gone.
    Given generations a of 5000, b of 3000 and c of 4000 tokens that want to move
    When the connection of a's entry is lost
    Then the turns go to b, c as each is given back

  Scenario: a turn that is not given back
    Given generations a of 5000, b of 3000 and c of 4000 tokens that want to move
    When two seconds pass and nobody gives a turn back
    Then b has the turn

  Scenario: a generation ends while it waits
    Given generations a of 5000, b of 3000 and c of 4000 tokens that want to move
    When b ends by itself
    Then the turns go to a, c as each is given back
