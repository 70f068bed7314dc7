Feature: Bodies in chunks
  Scenario Outline: any chunks in any pieces
    Guards against a body that is not passed on byte for byte, and against
    bytes of the next request that are taken for it.
    When bodies are sent in chunks of <sizes>, and read in pieces of any size
    Then each is decoded as it was, with what follows left over

    Examples:
      | sizes           |
      | one byte        |
      | few bytes       |
      | any size        |
      | mixed runs      |

  Scenario Outline: what is no body in chunks
    Guards against a request that is smuggled behind a body.
    When a decoder gets <part>
    Then it refuses the body with status <status>

    Examples:
      | part                              | status |
      | a size in other letters           | 400    |
      | a size with a sign                | 400    |
      | a size with a prefix              | 400    |
      | a size of 17 digits               | 400    |
      | an empty size                     | 400    |
      | a blank before a size             | 400    |
      | a bare line feed after a size     | 400    |
      | a chunk that is longer than said  | 400    |
      | a chunk that is shorter than said | 400    |
      | a size line without an end        | 400    |
      | a trailer without an end          | 431    |
