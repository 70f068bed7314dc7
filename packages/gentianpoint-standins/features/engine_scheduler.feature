Feature: Batches of the stand-in engine
  An engine's memory runs out in the middle of decoding, since nobody knows
  how long answers get. The engine then throws one stream out and computes
  its work again later: its reader sees a pause, and the engine does less.

  Scenario Outline: the least urgent stream that came last is preempted
    Given an engine of <blocks> blocks of 4 tokens
    And streams of 4 prompt tokens with priorities <priorities>
    When <steps> steps are made
    Then the streams <preempted> were preempted
    And <redone> tokens were computed again

    Examples:
      | blocks | priorities | steps | preempted | redone |
      | 9      | 1 1 1      | 5     | none      | 0      |
      | 5      | 1 1        | 5     | 2         | 0      |
      | 5      | 1 2        | 5     | 1         | 0      |
      | 7      | 1 1 1      | 5     | 3         | 0      |
      | 7      | 1 2 1      | 5     | 3         | 0      |
      | 7      | 2 1 2      | 5     | 2         | 0      |
      | 5      | 1 1        | 14    | 2         | 8      |

  Scenario: a preempted stream goes on where it was
    Given an engine of 5 blocks of 4 tokens
    And streams of 4 prompt tokens with priorities 1 1
    When steps are made until all have ended
    Then each stream's tokens are numbered without gap or double
    And no blocks are in use

  Scenario: a stream that outgrows the whole memory ends early
    Given an engine of 2 blocks of 4 tokens
    And streams of 4 prompt tokens with priorities 1
    When steps are made until all have ended
    Then the end of stream 1 is length

  Scenario Outline: shared chunks of a prompt are computed once
    Given an engine of <blocks> blocks of 4 tokens
    When prompts <prompts> run one after another
    Then <held> chunks of the last were held already

    Examples:
      | blocks | prompts        | held |
      | 99     | ab ab          | 2    |
      | 99     | ab ac          | 1    |
      | 99     | ab ba          | 0    |
      | 40     | ab cd ab       | 0    |
      | 70     | ab cd ab       | 2    |
      | 70     | ab cd ef cd    | 2    |
      | 70     | ab cd ab ef ab | 2    |

  Scenario Outline: the same prompt has the same length everywhere
    Then with seed <seed> prompt <prompt> gets between <least> and <most> tokens, always the same

    Examples:
      | seed | prompt            | least | most |
      | 1    | tokens:7          | 7     | 7    |
      | 1    | kind:ticket a     | 1     | 32   |
      | 2    | kind:report a     | 1     | 8000 |
      | 3    | kind:unheard-of a | 1     | 1000 |
