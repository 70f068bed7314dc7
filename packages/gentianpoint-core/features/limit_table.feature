Feature: What entries know of targets' limits
  Answers overtake each other, news arrive in any order and late, and hosts'
  clocks stand still at times.

  Scenario Outline: answers that overtake each other
    Guards against a limit that is lifted, or raised, by an answer that was
    made before the target named it.
    Given a table that met a limit of 2 at 10 s
    When an answer that names <named> to a request of <asked> s comes at 11 s
    Then it knows <outcome>

    Examples:
      | named       | asked | outcome      |
      | nothing     | 10.5  | no limit     |
      | nothing     | 9.5   | a limit of 2 |
      | 5           | 10.5  | a limit of 5 |
      | 5           | 9.5   | a limit of 2 |
      | 1           | 9.5   | a limit of 1 |
      | 2.05        | 10.5  | a limit of 2 |
      | 0           | 10.5  | a limit of 0.25 |
      | 5000        | 10.5  | no limit     |
      | fast        | 10.5  | a limit of 2 |

  Scenario: news arrive in any order
    Guards against entries that come to believe different things, since the
    same news reached them in different orders.
    Given news of a limit of 2, of its change to 5, of its end and of a new one
    When tables learn them in every order
    Then all of them know the same limit, with turns that begin together

  Scenario Outline: turns that began at different times
    Guards against entries that divide the time differently for good, since
    they met a limit at different moments or since a clock stood still.
    Given a table that met a limit of 2 at 10 s
    When another entry tells the same limit with turns from <from> s on
    Then its turns begin at <begin> s
    And the other entries are <told>

    Examples:
      | from  | begin | told     |
      | 4     | 4     | told     |
      | 9.99  | 10    | not told |
      | 10.01 | 10    | not told |
      | 16    | 10    | told     |

  Scenario Outline: news that make no sense
    Guards against an entry that ends, or sends nothing any more, by what
    another one tells.
    Given an empty table
    When another entry tells a limit of <limit> over <window> s in turn <turn>
    Then it knows no limit

    Examples:
      | limit | window | turn |
      | nan   | 4      | 0    |
      | inf   | 4      | 0    |
      | 0     | 4      | 0    |
      | -1    | 4      | 0    |
      | 1e9   | 4      | 0    |
      | 2     | 0      | 0    |
      | 2     | 1e9    | 0    |
      | 2     | 4      | -1   |
      | 2     | 4      | 1e18 |

  Scenario: a target names another figure in each answer
    Guards against entries that tell each other of each answer.
    Given a table that met a limit of 2 at 10 s
    When 100 answers a second name 1.95 and 2.05 in turn for 10 seconds
    Then others are told at most 3 times

  Scenario: targets that have gone
    Guards against limits that are kept for ever.
    Given a table that knows of 5000 targets at 10 s
    Then it knows at most 4096 limits
    When it looks 61 s later which targets are listed, and none is
    Then it knows at most 0 limits
