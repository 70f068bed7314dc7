Feature: Operators evacuate data centres

  Scenario: a data centre is evacuated and taken back
  An operator empties a data centre before work on its power. Guards against
  calls that are still placed there, and against targets that stay idle once
  it is taken back.

    Given a deployment of 2 entries and 2 targets
    When a caller reads a stream of 300 tokens
    And the data centre that serves it is evacuated
    And 8 callers ask for 5 tokens each
    Then all the callers got whole answers
    And the targets there have started nothing new
    And the stream ends whole with 300 tokens
    When the operator takes the data centre back
    Then its target serves callers again

  Scenario: all data centres are evacuated
  Guards against callers who wait for their deadline, or are told that their
  call may have run.

    Given a deployment of 2 entries and 2 targets
    When every data centre is evacuated by the operator
    Then a caller is told not_run, and when to come back

  Scenario: an entry starts in the middle of an evacuation
    Given a deployment of 1 entry and 2 targets
    When the operator evacuates zona-sur
    And another entry starts and serves 8 callers
    Then the targets there have started nothing new
