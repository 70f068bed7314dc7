Feature: An entry that is told to stop

  Scenario Outline: a request has no answer yet when its entry stops
    Guards against a connection that is closed without an answer, so that the
    caller can't tell whether its request was read.
    Given a <kind> at an entry that stops within 1000 ms
    And target a answers: <words>
    When the entry is told to stop while the request is served
    Then the caller reads an answer with status 504

    Examples:
      | kind       | words |
      | plain call | mute  |
      | generation | mute  |
      | generation | events 1-0 then silence |

  Scenario Outline: a second signal while an entry shuts down
    Guards against a second signal that ends the process at once, or that makes
    it look as if it had been killed.
    Given a plain call at an entry that stops within 1000 ms
    And target a answers: mute
    When the entry is told to stop, and gets <signal> while it shuts down
    Then the caller reads an answer with status 504
    And the entry has shut down gracefully

    Examples:
      | signal  |
      | SIGTERM |
      | SIGHUP  |
