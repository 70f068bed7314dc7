Feature: Limits on requests that targets name in their answers

  Scenario Outline: what an answer names
    Guards against a header that is no decimal number and lifts a limit, starts
    one, or ends the process that reads it.
    When an answer has the values <values>
    Then it names <limit>

    Examples:
      | values       | limit            |
      | none         | no limit         |
      | 2.1          | 2.1 a second     |
      | 0            | 0 a second       |
      | 0.25         | 0.25 a second    |
      | 5 and 2      | 2 a second       |
      | 5, 2         | 2 a second       |
      | 5 and fast   | 5 a second       |
      | fast         | nothing readable |
      | inf          | nothing readable |
      | nan          | nothing readable |
      | -1           | nothing readable |
      | 1e9999       | nothing readable |
      | 1_0          | nothing readable |
      | 9999999999   | nothing readable |
      | ٣            | nothing readable |
