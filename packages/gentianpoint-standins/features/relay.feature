Feature: The relay
  Something between two hosts loses track of a connection: it stays open and
  nothing comes through any more, while new connections work. Or a link is
  cut, stalls, or gets slow. The users see answers that stop.

  Scenario Outline: what happens to a connection
    Given a plain service behind a relay
    And a connection that has served a call
    When the relay's faults become <faults>
    Then the next call on the connection <outcome>
    And a call on a new connection <outcome of new>

    Examples:
      | faults                                           | outcome       | outcome of new |
      | {}                                               | is answered   | is answered    |
      | {"delay_ms": 5}                                  | is answered   | is answered    |
      | {"cut": true}                                    | breaks        | is answered    |
      | {"silence": "existing"}                          | stays silent  | is answered    |
      | {"silence": "all"}                               | stays silent  | stays silent   |
      | {"silence": "existing", "direction": "forward"}  | stays silent  | is answered    |
      | {"silence": "existing", "direction": "backward"} | stays silent  | is answered    |
      | {"refuse": true}                                 | is answered   | breaks         |
      | {"stall": true}                                  | stays silent  | stays silent   |

  Scenario Outline: which side hears nothing
    Given a plain service behind a relay
    And a connection that has served a call
    When the relay's faults become {"silence": "existing", "direction": "<direction>"}
    Then the next call on the connection stays silent
    And the plain service has run <runs> calls

    Examples:
      | direction | runs |
      | forward   | 1    |
      | backward  | 2    |

  Scenario: what stalled comes through later
    Given a plain service behind a relay
    And a connection that has served a call
    When the relay's faults become {"stall": true}
    Then a call sent now is answered once the stall is over

  Scenario: silence is for good
    Given a plain service behind a relay
    And a connection that has served a call
    When the relay's faults become {"silence": "all"}
    Then the next call on the connection stays silent
    When the relay's faults become {"silence": "none"}
    Then the next call on the connection stays silent
    And a call on a new connection is answered
