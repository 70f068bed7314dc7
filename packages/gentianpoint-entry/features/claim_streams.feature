Feature: The first claim in a key's stream is the valid one
  Two entries claim the same key while replies of the log are late or lost. If
  both entries considered the key theirs, the caller's request would run and
  be billed twice.

  Scenario Outline: the outcome of a claim
  An entry finds the key free and appends its claim. The append fails in some
  way, or another entry has appended its claim first.

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

  Scenario Outline: looking up a key
  An entry looks up the claim of a call's key before it does anything else.

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
  The log fails or does not answer. The call must get its final outcome
  soon. That must not be not_run, since an earlier call may have run.

    Given a log that <does>
    When an entry looks the key up
    Then the entry says outcome_unknown
    And the caller is told when to retry

    Examples:
      | does              |
      | refuses to read   |
      | answers nothing   |

  Scenario: claims do not use up the log's rate limit
  A customer sends a key with each of its many calls. If all claims were
  appended at once, the log would refuse operators' changes.

    Given a log whose next appends work
    When an entry of 10 claims 100 free keys at once
    Then 20 of the claims were appended and the others refused
    And after 1 second 20 more are appended

  Scenario Outline: comparing two requests with the same key
  A program uses a key twice. The requests count as equal only if they ask
  the target for the same work.

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

  Scenario: different customers never share a key's stream
    Then the streams of the customer "a" with the key "bc" and of "ab" with "c" differ
    And the name of a stream contains neither the customer nor the key
