Feature: Which calls run, which wait and which are refused
  More calls come than the engine can hold. What a customer notices of a bad
  queue is that it waits behind others for ever, or is told late that its call
  never had a chance; so order, bounds and refusals are checked here.

  Scenario Outline: customers share by weight, whatever each has waiting
    Given a queue before 1 place
    When customer large with weight 1 sends 60 calls
    And customer small with weight <weight> sends 12 calls
    And <starts> calls have run one after another
    Then customer small had between <low> and <high> of them

    Examples:
      | weight | starts | low | high |
      | 1      | 20     | 9   | 11   |
      | 3      | 15     | 10  | 12   |
      | 0.25   | 20     | 3   | 5    |

  Scenario: what a call really cost is charged, not what was expected
    Given a queue before 1 place
    When customer large with weight 1 sends 30 calls of 400 tokens
    And customer small with weight 1 sends 30 calls of 4 tokens
    And 30 calls have run one after another
    Then customer small had between 20 and 29 of them

  Scenario: a higher priority goes first, but a lower one gets on
    Given a queue before 1 place
    When customer low of priority 3 sends 20 calls
    And customer high of priority 8 sends 40 calls
    And 30 calls of 0.5 s have run one after another
    Then customer low had between 3 and 8 of them

  Scenario: a customer's limit leaves places to others
    Given a queue before 4 places
    When customer large limited to 1 sends 10 calls
    And customer small with weight 1 sends 2 calls
    Then customer large has 1 running
    And customer small has 2 running

  Scenario: a stream of an earlier run takes its place
  The agent was restarted and its engine goes on with a stream. One more beside
  it would preempt it, so the stream counts like any other until it ends.

    Given a queue before 1 place
    When a stream runs that an earlier run has started
    And it brings 40 tokens that were generated before
    And customer small with weight 1 sends 1 calls
    Then customer small has 0 running
    And the pace is not known
    When it has ended
    Then customer small has 1 running

  Scenario: calls of one customer start in the order they came
    Given a queue before 1 place
    When customer one with weight 1 sends 5 calls
    And 5 calls have run one after another
    Then they ran in the order they came

  Scenario Outline: a full queue refuses at once the one who fills it
    Given a queue of at most 4 before 1 place
    When customer large with weight 1 sends 5 calls
    And customer <who> of priority <priority> sends 1 calls
    Then 1 call of <refused> is refused with a time to come back
    And 4 calls wait

    Examples:
      | who   | priority | refused |
      | large | 5        | large   |
      | small | 5        | large   |
      | small | 9        | large   |
      | small | 1        | small   |

  Scenario Outline: a wait that is too long is refused at once
    Given a queue before 2 places
    And calls have taken <held> s each
    When customer one with weight 1 sends 2 calls
    And customer two that has <within> s sends 1 calls
    Then <refused> call of two is refused with a time to come back

    Examples:
      | held | within | refused |
      | 8    | 1      | 1       |
      | 8    | 60     | 0       |
      | 1    | 5      | 0       |

  Scenario: the time to come back grows with what waits
    Given a queue before 1 place
    And calls have taken 4 s each
    When customer one with weight 1 sends 1 calls
    And customer two that has 1 s sends 1 calls
    And customer three with weight 1 sends 3 calls
    And customer two that has 1 s sends 1 calls
    Then the second refusal names a later time than the first

  Scenario: a call whose time is up is refused while it waits
    Given a queue before 1 place
    When customer one with weight 1 sends 1 calls
    And customer two that has 3 s sends 1 calls
    And 4 s pass
    Then 1 call of two is refused with a time to come back
    And 0 calls wait

  Scenario: a call that is withdrawn leaves the queue
    Given a queue before 1 place
    When customer one with weight 1 sends 3 calls
    And all are withdrawn
    Then 0 calls wait
    And 0 calls run

  Scenario: short answers pass a report that has to wait, but not for ever
    Given an engine of 100 blocks whose reports are long and tags short
    When a report runs and another waits
    And 60 tags come one after another and end at once
    Then at least 30 tags have run
    And fewer than 40 tags have run
    When the first report ends
    Then the second report runs

  Scenario: the state is bounded with 48000 customers
    Given a queue before 1 place
    When 48000 customers send one call each and it ends at once
    Then fewer than 5000 customers are remembered

  Scenario: a moment with one long answer refuses nobody
    Many calls run most of the time. For a moment one long answer has the
    engine alone while the others wait for its memory. Were the wait told by
    that moment, callers would be refused and sent away for minutes, just
    before the queue moves on.
    Given a queue before 8 places where calls usually take 2 s
    When 1 long answer runs alone for 1 s
    Then a call with 20 before it is told to expect less than 10 s
    When 1 long answer runs alone for 60 s
    Then a call with 20 before it is told to expect more than 30 s
