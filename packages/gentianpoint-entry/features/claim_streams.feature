Feature: The first claim in a key's stream holds
  Two entries claim one key, and the log's answers are late or lost. If both
  took the key for theirs, the report that it stands for would be billed
  twice.

  Scenario Outline: what becomes of a claim
  An entry found the key free and appends its claim. Something happens to the
  append, or another entry was faster.

    Given a log whose next appends <appends>
    When an entry claims a free key
    Then <outcome>
    And the entry appended <count> times

    Examples:
      | appends                                         | outcome                              | count |
      | work                                            | its own claim holds                  | 1     |
      | follow another entry's                          | the other entry's claim holds        | 1     |
      | are taken twice                                 | its own claim holds                  | 1     |
      | lose the reply                                  | its own claim holds                  | 1     |
      | follow another entry's and lose the reply       | the other entry's claim holds        | 1     |
      | are lost, work                                  | its own claim holds                  | 2     |
      | take effect late, work                          | its own claim holds                  | 2     |
      | are lost, follow another entry's                | the other entry's claim holds        | 2     |
      | are lost, are lost, are lost                    | the entry says outcome_unknown       | 3     |
      | are refused                                     | the entry says outcome_unknown       | 1     |
      | are never answered                              | the entry says outcome_unknown       | 1     |
      | follow another entry's that expired             | the entry says outcome_unknown       | 1     |
      | follow another entry's that can't be read       | the entry says outcome_unknown       | 1     |

  Scenario Outline: what a key names
  A call comes with a key, and the entry looks up what it names before it
  does anything.

    Given a key's stream with <records>
    When an entry looks the key up
    Then <outcome>

    Examples:
      | records                      | outcome                        |
      | no records                   | the key is free                |
      | one claim                    | the other entry's claim holds  |
      | two claims                   | the other entry's claim holds  |
      | an expired claim             | the entry says outcome_unknown |
      | an expired claim and another | the entry says outcome_unknown |
      | a claim that can't be read   | the entry says outcome_unknown |

  Scenario Outline: a log that can't be read
  The log is out, or does not answer at all. The call must have its final
  answer soon, and it must not be that the report did not run.

    Given a log that <does>
    When an entry looks the key up
    Then the entry says outcome_unknown
    And the caller is told when to come back

    Examples:
      | does              |
      | refuses to read   |
      | answers nothing   |

  Scenario: claims leave the log's rate to operators
  A customer sends a key with each of its many calls. If all were appended at
  once the log would refuse operators' changes.

    Given a log whose next appends work
    When an entry of 10 claims 100 free keys at once
    Then 20 of the claims were appended and the others refused
    And after 1 second 20 more are appended

  Scenario Outline: what a key's request is compared by
  A program uses a key twice. Its second request is the same only when a
  target would be asked the same.

    Given the digest of a request
    When another request differs in <what>
    Then the digests <result>

    Examples:
      | what       | result |
      | nothing    | agree  |
      | service    | differ |
      | prompt     | differ |
      | max_tokens | differ |
      | method     | differ |
      | path       | differ |
      | body       | differ |
      | headers    | agree  |

  Scenario: streams of keys keep customers apart
    Then the streams of the customer "a" with the key "bc" and of "ab" with "c" differ
    And no stream's name has the customer or the key in it
