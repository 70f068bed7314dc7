Feature: The engine of replays, which knows urgency

  Scenario: an urgent generation takes the memory of the newest that is not
    Guards against a generation that has lost its memory and goes before the
    urgent one that waits for it: it takes the memory back at once, and the
    engine never ends.
    Given a simulated engine with memory for two of three generations
    When "old" and "new" run, and "urgent" comes with urgency 1
    Then the generations end in the order "old, urgent, new"
    And the engine has preempted 1 generation

  Scenario: a generation that is as urgent as those that run
    Guards against preemption where no urgency differs: what runs would be
    read again and gain nothing.
    Given a simulated engine with memory for two of three generations
    When "old" and "new" run, and "third" comes with urgency 5
    Then the generations end in the order "old, new, third"
    And the engine has preempted 0 generations

  Scenario: memory that runs out while generations grow
    Guards against taking the memory of an urgent generation because it is the
    newest.
    Given a simulated engine whose memory runs out as two generations grow
    When "old" and "new" run, and "urgent" comes with urgency 1
    Then the generations end in the order "old, urgent, new"
    And the engine has preempted 1 generation
