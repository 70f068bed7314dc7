Feature: What targets ask for in the heads of their answers

  Scenario Outline: a target says that it leaves
    Guards against a target that is left alone for a header that says nothing.
    Then <values> says that the target leaves: <leaves>

    Examples:
      | values | leaves |
      | 1      | yes    |
      | 1 and 1 | yes   |
      | 0 and 1 | yes   |
      | 0      | no     |
      | empty  | no     |
      | true   | no     |
      | nothing | no    |

  Scenario Outline: a target asks for rest
    Guards against a spoilt header that rests a target for ever, or not at all.
    Then <values> asks for <rest_ms> ms of rest

    Examples:
      | values      | rest_ms |
      | 3           | 3000    |
      | 0.25        | 250     |
      | 2 and 3     | 3000    |
      | -3          | 0       |
      | soon        | 0       |
      | inf         | 0       |
      | nan         | 0       |
      | 1e9         | 0       |
      | empty       | 0       |
      | nothing     | 0       |
      | Sun, 06 Nov 1994 08:49:37 GMT | 0 |
