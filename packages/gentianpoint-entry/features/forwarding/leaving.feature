Feature: An entry that has been told to stop takes only what it can finish

  Scenario Outline: requests that come while an entry leaves
    The balancer still sends new connections to an entry that was told to
    stop six seconds ago. A generation taken now would be cut with the
    process, and its caller could not have it again.
    Given a <kind> of about <tokens> tokens
    And target a answers: <words>
    When it comes <left> ms before the entry ends
    Then the caller is refused with status <status>

    Examples:
      | kind       | tokens | words           | left | status |
      | generation | 900    | events 1-2 then end | 7000 | 503 |
      | generation | 20     | events 1-2 then end | 7000 | 200 |
      | generation | 20     | events 1-2 then end | 500  | 503 |
      | plain call | 0      | body            | 2000 | 200    |
      | plain call | 0      | body            | 300  | 503    |
