Feature: Generations leave an engine one at a time
  An engine has one link for the memory of all its generations, and goes two
  seconds after its notice.

  Scenario: several entries move their generations at once
    Copies that run side by side all take as long as all of them together, and
    each generation pauses for that time. One after the other, the smallest
    first, most of them leave in time.
    Given waiting generations a of 5000, b of 3000 and c of 4000 tokens
    Then turns are granted to a, b, c as each is released

  Scenario: an entry stops during its turn
    The entry that moves a generation is killed. The others must not wait for
    it until the engine is gone.
    Given waiting generations a of 5000, b of 3000 and c of 4000 tokens
    When the connection of a's entry is lost
    Then turns are granted to b, c as each is released

  Scenario: a turn that is not released ends
    Given waiting generations a of 5000, b of 3000 and c of 4000 tokens
    When two seconds pass and no turn is released
    Then b has the turn

  Scenario: a generation ends while it waits for its turn
    Given waiting generations a of 5000, b of 3000 and c of 4000 tokens
    When b ends by itself
    Then turns are granted to a, c as each is released
