Feature: Bad input harms only the one who sends it

  Scenario Outline: a request that can't be understood is refused
    Tools read an error's code from its JSON; a page in another form would
    leave their users with no reason.
    Given a deployment of 1 entry and 1 target
    When a bad caller sends <request>
    Then the bad caller gets <status> with the code invalid_request
    And a caller asks for a whole generation of 3 tokens

    Examples:
      | request                             | status |
      | an oversized body                   | 413    |
      | broken JSON                         | 400    |
      | deeply nested JSON                  | 400    |
      | an unknown field                    | 400    |
      | Gentianpoint-Repeatable: maybe      | 400    |
      | Gentianpoint-Prepare: 1             | 400    |
      | Gentianpoint-Deadline-Ms: -1        | 400    |
      | Gentianpoint-Deadline-Ms: 1e3       | 400    |
      | an unknown path                     | 404    |
      | another method                      | 405    |

  Scenario: a caller stops in the middle of a request's head
    Half-open callers pile up until the entry has no connection left.
    Given a deployment of 1 entry and 1 target
    When a caller sends half a head and stops
    Then a caller asks for a whole generation of 3 tokens
    And the entry closes the connection of the one that stopped

  Scenario Outline: an agent refuses a bad peer
    A peer of another make or version, or a stranger, reaches the agent's
    port. The streams of its entries must go on.
    Given a deployment of 1 entry and 1 target
    When a stream of 20 tokens runs beside the bad peer
    And a bad peer sends the agent <input>
    Then the agent ends its connection and logs <event>
    And the stream beside it is whole

    Examples:
      | input                   | event              |
      | a wrong key             | connection_refused |
      | another version         | connection_lost    |
      | an oversized frame      | connection_lost    |
      | garbage                 | message_refused    |
      | a text frame            | message_refused    |
      | an agent's own message  | connection_lost    |
      | a negative item number  | message_refused    |
