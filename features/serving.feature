Feature: A request is served end to end
  Caller, entry, agent and engine are processes of their own; the service was
  declared through the administration API and travelled through the log.

  Scenario: a generation is streamed token by token
    Given a deployment of 1 entry and 1 target
    When a caller streams a generation of 12 tokens
    Then the tokens come numbered from 1 to 12
    And the stream ends with DONE

  Scenario: a whole answer has its usage
    Given a deployment of 1 entry and 2 targets
    When a caller asks for a whole generation of 9 tokens
    Then the answer counts 9 completion tokens

  Scenario: a generation is fetched again from another entry
    Given a deployment of 2 entries and 1 target
    When a caller asks for a whole generation of 6 tokens
    And the caller resumes it after 2 at the last entry
    Then the tokens come numbered from 3 to 6

  Scenario: a prepared generation runs once however often it is started
    Given a deployment of 2 entries and 2 targets
    When a caller prepares a generation of 5 tokens
    And starts it 3 times through all entries
    Then each start gives the same answer
    And the engines started it once

  Scenario Outline: requests that can't be served say why
    Given a deployment of 1 entry and 1 target
    When a caller sends <body> with the key <key>
    Then the status is <status> and the code is <code>

    Examples:
      | body                                      | key | status | code            |
      | {"model": "modelo-taller"}                | own | 400    | invalid_request |
      | {"model": "modelo-taller", "prompt": 1}   | own | 400    | invalid_request |
      | {"model": "none", "prompt": "a"}          | own | 404    | unknown_service |
      | {"model": "modelo-taller", "prompt": "a"} | bad | 401    | unauthorized    |
      | {"model": "modelo-taller", "prompt": "a", "x": 1} | own | 400 | invalid_request |
      | {"model": "modelo-taller", "prompt": "a", "n": 2} | own | 400 | invalid_request |
      | no JSON                                   | own | 400    | invalid_request |

  Scenario Outline: a key that can't be kept is refused, not ignored
  A tool sends an idempotency key that the system can't keep, and counts on
  it. Passed over in silence, a repeat would run a billed report twice.

    Given a deployment of 1 entry and 1 target
    When a caller sends a request with <headers>
    Then the status is 400 and the code is invalid_request
    And the engines started nothing

    Examples:
      | headers                     |
      | an empty key                |
      | a key of 256 characters     |
      | a key and a prepare         |
      | a key and an identifier     |
      | two keys                    |
