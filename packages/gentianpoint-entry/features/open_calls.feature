Feature: The call of a request is closed however the request ends
  An entry that shuts down waits for its open calls. A call that is never
  closed would delay the shutdown until its time limit.

  Scenario Outline: the caller disconnects while <moment>
  The caller's connection ends after the first token has arrived, but before
  the response body is started or while it is about to be written.

    Given a route that streams a generation
    When its caller disconnects while <moment>
    Then its call is closed

    Examples:
      | moment                   |
      | the head is written      |
      | the first part is written |
      | nothing is missing       |

  Scenario: the response headers can't be created
  A plain service answers with an invalid header. The caller gets an error;
  the service's answer is discarded.

    Given a route that fails after its call was answered
    When its caller disconnects while nothing is missing
    Then its call is closed
