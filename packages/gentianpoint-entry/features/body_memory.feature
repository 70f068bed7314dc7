Feature: Memory for bodies at the own interface

  Scenario Outline: a caller that sends its body too slowly while others wait
    Guards against an error that says nothing, for a request that has not run
    or is not known to have run.
    Given memory for one body of 100,000 bytes
    When a caller <names> pauses in its body, and another one needs the memory
    Then it is refused with status <status> and code <code>

    Examples:
      | names                     | status | code            |
      | with a new request        | 503    | not_run         |
      | that names its generation | 502    | outcome_unknown |
