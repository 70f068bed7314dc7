Feature: Streamed events contain the exact text of each token
  The JSON around a token's text is encoded once for the whole answer. A text
  that needs escaping, or that resembles the surrounding JSON, must not
  corrupt the event, since the caller's client library would then fail in the
  middle of the answer.

  Scenario Outline: token texts that need escaping
    Given an answer in the <form> format
    When events with these texts are encoded, numbered from 7
      | text            |
      | praia           |
      | a "quoted" \ é  |
      | \0              |
      | line\nbreak     |
      | {"text":"x"}    |
      |                 |
    Then each event has its number, its text and the generation's identifier

    Examples:
      | form       |
      | completion |
      | chat       |
