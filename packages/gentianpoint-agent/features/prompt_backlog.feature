Feature: Prompt tokens that an engine has yet to process
  Entries place new generations by this number, since each entry knows only its
  own prompts.

  Scenario Outline: the backlog is estimated from a report
    All entries send to an engine that has just started, and it processes one
    prompt after the other. Unless the backlog covers the prompts of all
    entries, they send more, and callers wait seconds for their first event.
    Given an engine with <running> running, <generating> of them generating
    And <used> tokens in use, <copies> of them copies and <made> of generating streams
    And <waiting> waiting, the first with <next> tokens
    Then <unread> tokens have yet to be processed

    Examples:
      | running | generating | used  | copies | made | waiting | next | unread |
      | 0       | 0          | 0     | 0      | 0    | 0       | 0    | 0      |
      | 2       | 2          | 6080  | 0      | 6050 | 0       | 0    | 0      |
      | 1       | 0          | 3008  | 0      | 0    | 0       | 0    | 3008   |
      | 3       | 2          | 12000 | 3000   | 6000 | 0       | 0    | 3000   |
      | 2       | 1          | 6000  | 0      | 3000 | 2       | 2500 | 8000   |
      | 1       | 1          | 34000 | 0      | 3000 | 3       | 2000 | 6000   |
      | 2       | 1          | 3000  | 0      | 3050 | 0       | 0    | 0      |
