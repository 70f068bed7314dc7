Feature: Which calls run, wait or are refused
  More calls arrive than the engine can hold. With a bad queue a customer
  waits behind others for ever, or learns late that its call never had a
  chance. So the order, the bounds and the refusals are checked here.

  Scenario Outline: customers share by weight, however many calls each sends
    Given a queue for 1 slot
    When customer large with weight 1 sends 60 calls
    And customer small with weight <weight> sends 12 calls
    And <starts> calls have run one after another
    Then customer small sent between <low> and <high> of them

    Examples:
      | weight | starts | low | high |
      | 1      | 20     | 9   | 11   |
      | 3      | 15     | 10  | 12   |
      | 0.25   | 20     | 3   | 5    |

  Scenario: a customer is charged the actual cost, not the estimate
    Given a queue for 1 slot
    When customer large with weight 1 sends 30 calls of 400 tokens
    And customer small with weight 1 sends 30 calls of 4 tokens
    And 30 calls have run one after another
    Then customer small sent between 20 and 29 of them

  Scenario: a higher priority goes first without starving a lower one
    Given a queue for 1 slot
    When customer low of priority 3 sends 20 calls
    And customer high of priority 8 sends 40 calls
    And 30 calls of 0.5 s have run one after another
    Then customer low sent between 3 and 8 of them

  Scenario: a customer's limit leaves slots to others
    Given a queue for 4 slots
    When customer large limited to 1 sends 10 calls
    And customer small with weight 1 sends 2 calls
    Then customer large has 1 running
    And customer small has 2 running

  Scenario: a stream of an earlier run of the agent holds a slot
  The agent was restarted while its engine goes on with a stream. One more call
  beside it would preempt it, so the stream counts like any other until it
  ends.

    Given a queue for 1 slot
    When a stream runs that an earlier run of the agent started
    And it delivers 40 tokens that were generated before
    And customer small with weight 1 sends 1 calls
    Then customer small has 0 running
    And the pace is unknown
    When the stream has ended
    Then customer small has 1 running

  Scenario: calls of one customer start in order of arrival
    Given a queue for 1 slot
    When customer one with weight 1 sends 5 calls
    And 5 calls have run one after another
    Then they ran in order of arrival

  Scenario Outline: a full queue refuses a call of the customer that fills it
    Given a queue of at most 4 for 1 slot
    When customer large with weight 1 sends 5 calls
    And customer <who> of priority <priority> sends 1 calls
    Then 1 call of <refused> is refused with a retry delay
    And 4 calls wait

    Examples:
      | who   | priority | refused |
      | large | 5        | large   |
      | small | 5        | large   |
      | small | 9        | large   |
      | small | 1        | small   |

  Scenario Outline: a call is refused at once if its wait would be too long
    Given a queue for 2 slots
    And calls have taken <held> s each
    When customer one with weight 1 sends 2 calls
    And customer two with a limit of <within> s sends 1 calls
    Then <refused> call of two is refused with a retry delay

    Examples:
      | held | within | refused |
      | 8    | 1      | 1       |
      | 8    | 60     | 0       |
      | 1    | 5      | 0       |

  Scenario: the retry delay grows with the number of waiting calls
    Given a queue for 1 slot
    And calls have taken 4 s each
    When customer one with weight 1 sends 1 calls
    And customer two with a limit of 1 s sends 1 calls
    And customer three with weight 1 sends 3 calls
    And customer two with a limit of 1 s sends 1 calls
    Then the second refusal has a longer retry delay than the first

  Scenario: a waiting call is refused at its deadline
    Given a queue for 1 slot
    When customer one with weight 1 sends 1 calls
    And customer two with a limit of 3 s sends 1 calls
    And 4 s pass
    Then 1 call of two is refused with a retry delay
    And 0 calls wait

  Scenario: a cancelled call leaves the queue
    Given a queue for 1 slot
    When customer one with weight 1 sends 3 calls
    And all calls are cancelled
    Then 0 calls wait
    And 0 calls run

  Scenario: a bounded number of short calls overtake a long one
    Given an engine of 100 blocks, known long reports and known short tags
    When a report runs and another waits
    And 60 tags come one after another and end at once
    Then at least 30 tags have run
    And fewer than 40 tags have run
    When the first report ends
    Then the second report runs

  Scenario: the state is bounded with 48000 customers
    Given a queue for 1 slot
    When 48000 customers send one call each that ends at once
    Then the queue tracks fewer than 5000 customers

  Scenario: a long answer that runs alone for a moment causes no refusals
    Usually many calls run. For a moment one long answer has the engine to
    itself while the others wait for its memory. If the wait were predicted
    from that moment, callers would be refused with retry delays of minutes,
    just before the queue moves on.
    Given a queue for 8 slots where calls usually take 2 s
    When 1 long answer runs alone for 1 s
    Then the predicted wait of a call behind 20 others is less than 10 s
    When 1 long answer runs alone for 60 s
    Then the predicted wait of a call behind 20 others is more than 30 s

  Scenario Outline: a target names a limit on starts
    Guards against calls that all start as soon as slots are free at a target
    that takes a few a second, and against calls that wait for a turn that comes
    after their deadline.
    Given a queue for 32 slots
    And the target has named a limit of <limit> a second
    When customer one with a limit of 6 s sends 30 calls
    And 8 s pass, and calls end as soon as they have started
    Then between <least> and <most> calls have started
    And the others were refused with a retry delay

    Examples:
      | limit | least | most |
      | 2     | 12    | 13   |
      | 0.4   | 2     | 3    |
      | 0     | 1     | 2    |
      | 1000  | 30    | 30   |

  Scenario: a target lifts its limit
    Guards against calls that go on waiting for turns.
    Given a queue for 32 slots
    And the target has named a limit of 0.5 a second
    When customer one with a limit of 60 s sends 10 calls
    And 1 s pass, and the target names no limit any more
    And 1 s pass, and calls end as soon as they have started
    Then between 10 and 10 calls have started
