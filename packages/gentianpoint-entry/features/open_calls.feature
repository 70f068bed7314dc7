Feature: A request's call is closed whatever becomes of its answer
  An entry that is told to stop waits for its open calls. One that nobody
  closes would hold up the shutdown until the longest time that it may take.

  Scenario Outline: the caller goes away while <moment>
  A caller's connection ends at the worst moment: the first token has come, but
  the answer's body has not been begun, or is about to be written.

    Given a route that streams a generation
    When its caller goes away while <moment>
    Then its call is closed

    Examples:
      | moment                   |
      | the head is written      |
      | the first part is written |
      | nothing is missing       |

  Scenario: the answer's head can't be made
  A plain service answers with a header that can't be passed on. The caller
  gets an error; the service's answer is let go.

    Given a route that fails after its call was answered
    When its caller goes away while nothing is missing
    Then its call is closed
