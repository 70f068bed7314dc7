Feature: Heads of requests
  Two parsers that read a request differently can be made to disagree on where
  the next one begins. What could be read in two ways is refused.

  Scenario Outline: a head that can be read in two ways, or in none
    Guards against a request that is smuggled inside another one.
    When a head is parsed with <part>
    Then it is refused with status <status>

    Examples:
      | part                                  | status |
      | a length and chunks                   | 400    |
      | two lengths                           | 400    |
      | two equal lengths                     | 400    |
      | a length with a sign                  | 400    |
      | a length in words                     | 400    |
      | an empty length                       | 400    |
      | a length of 30 digits                 | 400    |
      | chunks in HTTP/1.0                    | 400    |
      | chunks within another coding          | 501    |
      | chunks twice                          | 501    |
      | a blank before a colon                | 400    |
      | a folded field                        | 400    |
      | a field without a colon               | 400    |
      | a field without a name                | 400    |
      | a bare line feed                      | 400    |
      | a bare carriage return                | 400    |
      | a zero byte                           | 400    |
      | no host                               | 400    |
      | two hosts                             | 400    |
      | a blank in the target                 | 400    |
      | two blanks after the method           | 400    |
      | HTTP/2.0                              | 505    |
      | HTTP/1.1 in lower case                | 400    |

  Scenario Outline: what a head says of the body and the connection
    When a head is parsed with <part>
    Then its body has <length> bytes and the connection <end>

    Examples:
      | part                           | length  | end    |
      | nothing else                   | 0       | stays  |
      | a length of 17                 | 17      | stays  |
      | chunks                         | unknown | stays  |
      | chunks in capitals             | unknown | stays  |
      | the end of the connection      | 0       | closes |
      | the end among other words      | 0       | closes |
      | HTTP/1.0 without a host        | 0       | closes |

  Scenario: the fields of a head
    Callers' fields are passed on; names are compared without regard to case.
    When a head is parsed with a field in capitals, an empty one and one twice
    Then each field is there in its order, with its name in lower case
