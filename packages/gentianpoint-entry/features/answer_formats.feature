Feature: Events of a stream carry each token's text as it is
  What stands around a token's text is encoded once for a whole answer. A
  text that needs escapes, or looks like what stands around it, must not
  break the event: a caller's library would fail on it in mid-answer.

  Scenario Outline: texts that need escapes
    Given an answer in the <form> format
    When the events of these texts are encoded from item 7 on
      | text            |
      | praia           |
      | a "quoted" \ é  |
      | \0              |
      | line\nbreak     |
      | {"text":"x"}    |
      |                 |
    Then each event has its number, its text and the answer's identifier

    Examples:
      | form       |
      | completion |
      | chat       |
