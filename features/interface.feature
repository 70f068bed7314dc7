Feature: Callers' own tools work unchanged
  Chat and completions are asked for with the client library that callers
  use; plain services are called with any HTTP client.

  Scenario Outline: the client library reads an answer
    Given a deployment of 1 entry and 1 target
    When the client library asks for a <form> of 7 tokens, <way>
    Then it has read 7 tokens and their usage

    Examples:
      | form       | way      |
      | chat       | whole    |
      | chat       | streamed |
      | completion | whole    |
      | completion | streamed |

  Scenario: the client library lists the models
    Given a deployment of 1 entry and 1 target
    When the client library lists the models
    Then it reads the names of the models that the customer may use

  Scenario Outline: an error has the class that callers catch
    Callers decide by the class of an error whether they try again, so a
    wrong class makes a caller give up, or ask for ever.
    Given a deployment of 1 entry and 1 target
    When the client library calls <what>
    Then it raises <error> with status <status> and code <code>

    Examples:
      | what                  | error               | status | code            |
      | with a wrong key      | AuthenticationError | 401    | unauthorized    |
      | for an unknown model  | NotFoundError       | 404    | unknown_service |
      | for two answers       | BadRequestError     | 400    | invalid_request |
      | with an unknown field | BadRequestError     | 400    | invalid_request |

  Scenario: an engine that is gone gives an error that says when to come back
    The only engine of a model has ended; its agent can't start a call. A caller
    who isn't told when to come back would ask again at once and often.
    Given a deployment of 1 entry and 1 target
    And the agent's target has gone
    When the client library calls for a chat
    Then it raises InternalServerError with status 503 and code not_run
    And the error says after how many seconds to come back

  Scenario Outline: a plain call is passed through whole
    Given a plain service
    When a caller makes the plain call <method> <path> with <body>
    Then the service got <method> <target> with <body>

    Examples:
      | method | path             | body         | target           |
      | GET    | /echo            | no body      | /echo ?          |
      | POST   | /echo/a?x=1&x=2  | binary bytes | /echo/a ?x=1&x=2 |
      | PUT    | /echo?q=%26%3D   | binary bytes | /echo ?q=%26%3D  |
      | PATCH  | /echo/50%25      | no body      | /echo/50% ?      |
      | DELETE | /echo/a%3Fb//c/  | no body      | /echo/a?b//c/ ?  |

  Scenario: headers of a plain call are passed but for those of one hop
    The key by which a customer is known here would let the service's owner
    act as the customer.
    Given a plain service
    When a caller sends headers of all kinds
    Then the service got the caller's own headers, repeated ones as often
    And it got neither the customer's key nor headers of one hop or ours
    And the caller got the service's repeated headers

  Scenario Outline: the status of a plain answer is passed
    Given a plain service
    When a caller makes the plain call GET /status/<status> with no body
    Then the caller got status <status>

    Examples:
      | status |
      | 204    |
      | 404    |
      | 418    |
      | 500    |

  Scenario: a plain answer in chunks is passed in chunks
    Given a plain service
    When a caller reads a plain answer of 3 chunks
    Then the caller got the 3 chunks and a regular end

  Scenario: a caller of HTTP/1.0 asks for the head of a plain answer
    Guards against a length of 0 in place of that of the answer.
    Given a plain service
    When callers of HTTP/1.0 and HTTP/1.1 ask for the head of /status/200
    Then both are told the same length, which is not 0

  Scenario Outline: a caller of HTTP/1.0 reads a plain answer
    Such a caller knows no chunks, and takes the end of the connection for the
    end of the answer. Guards against half an answer that looks whole.
    Given a plain service that <does>
    When a caller of HTTP/1.0 reads a plain answer of 3 chunks
    Then the caller got <outcome>

    Examples:
      | does                                | outcome                   |
      | answers                             | the 3 chunks and a length |
      | breaks its answers off after 2 chunks | status 502              |
