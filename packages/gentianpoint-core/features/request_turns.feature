Feature: Turns at a target with a limit
  A target takes a few requests a second from all entries together. Entries
  don't ask each other before each request.

  Scenario Outline: a target that all entries would send to at once
    Guards against entries that each send as many as all together may, or as
    many as a share that is rounded up allows, and against entries that never
    get to send.
    Given <count> entries, of which all know each other
    And a target that takes <limit> requests a second, counted over <window> s
    When all of them have as much to send as they may for <seconds> seconds
    Then it gets at most <most> requests in any window
    And it gets at least <least> requests in each window
    And each of the entries has sent <each> requests or more

    Examples:
      | count | limit | window | seconds | most | least | each |
      | 1     | 25    | 1      | 6       | 26   | 24    | 100  |
      | 3     | 25    | 1      | 6       | 26   | 24    | 40   |
      | 29    | 25    | 1      | 6       | 26   | 24    | 4    |
      | 29    | 100   | 1      | 6       | 101  | 99    | 19   |
      | 380   | 25    | 1      | 16      | 26   | 24    | 1    |
      | 380   | 1     | 1      | 6       | 2    | 0     | 0    |
      | 5     | 1.9   | 4      | 30      | 8    | 7     | 10   |
      | 29    | 2.1   | 4      | 30      | 9    | 8     | 2    |
      | 29    | 0.4   | 4      | 80      | 2    | 1     | 1    |
      | 380   | 25    | 4      | 16      | 101  | 99    | 1    |

  Scenario Outline: a burst after a calm time
    Guards against turns that many entries have saved and use at once.
    Given <count> entries, of which all know each other
    And a target that takes <limit> requests a second, counted over <window> s
    When all of them have nothing to send for 60 seconds, and then as much as they may for 6 seconds
    Then it gets at most <most> requests in any window

    Examples:
      | count | limit | window | most |
      | 5     | 2     | 4      | 11   |
      | 29    | 2     | 4      | 11   |
      | 29    | 25    | 1      | 33   |
      | 29    | 0.4   | 4      | 3    |
      | 380   | 2     | 4      | 11   |
      | 380   | 25    | 1      | 33   |

  Scenario Outline: entries that do not know all others, or the turns
    Guards against a limit that holds only while all entries agree. What a
    target gets beyond the limit stays within what it is said to bear at most,
    one and a half times as much and five more.
    Given <count> entries, of which <who>
    And a target that takes <limit> requests a second, counted over <window> s
    When all of them have as much to send as they may for 12 seconds
    Then it gets at most <most> requests in any window

    Examples:
      | count | who                                            | limit | window | most |
      | 29    | 3 start at 2 s and are known to others at 3 s  | 25    | 1      | 42   |
      | 380   | 10 start at 2 s and are known to others at 3 s | 25    | 1      | 42   |
      | 29    | 3 start at 2 s and are known to others at 3 s  | 2     | 4      | 17   |
      | 380   | 10 start at 2 s and are known to others at 3 s | 2     | 4      | 17   |
      | 29    | 2 are not known to the others any more         | 25    | 1      | 42   |
      | 380   | 10 are not known to the others any more        | 25    | 1      | 42   |
      | 29    | 2 are not known to the others any more         | 2     | 4      | 17   |
      | 29    | 3 know nobody                                  | 25    | 1      | 42   |
      | 380   | 100 know nobody                                | 25    | 1      | 42   |
      | 5     | 1 has turns that begin 1.3 s too early         | 2     | 4      | 17   |
      | 29    | 4 has turns that begin 1.3 s too early         | 2     | 4      | 17   |
      | 29    | 5 has turns that begin 1.3 s too early         | 25    | 1      | 42   |

  Scenario Outline: a limit that changes
    Guards against turns that come anew with each change, so that all entries
    send at once, or always the same one.
    Given <count> entries, of which all know each other
    And a target that takes 2 requests a second, counted over 4 s
    When its limit becomes <limit> and back again every <every> s for 60 seconds
    Then it gets at most <most> requests in any window
    And each of the entries has sent 1 requests or more

    Examples:
      | count | limit | every | most |
      | 5     | 1     | 0.9   | 10   |
      | 29    | 1.5   | 0.3   | 10   |
      | 29    | 8     | 7     | 33   |

  Scenario: all targets are cold at once
    Guards against entries without any target: of 27 that come back together,
    each entry has turns at all of them.
    Given 29 entries, of which all know each other
    And 27 targets that take 25 requests a second while they are cold
    Then each entry may send to all of them within 1.2 seconds

  Scenario Outline: a request that many others go before
    Guards against an entry that ends as it looks far ahead, and against a time
    that is earlier than the limit allows.
    Given <count> entries, of which all know each other
    And a target that takes <limit> requests a second, counted over 4 s
    Then after <ahead> others a request of the first entry waits <low> to <high> s

    Examples:
      | count | limit | ahead | low   | high  |
      | 1     | 2     | 0     | 0     | 0     |
      | 1     | 2     | 9     | 4.5   | 4.5   |
      | 5     | 0.4   | 2     | 25    | 37.5  |
      | 1     | 0.25  | 5000  | 20000 | 20001 |
      | 380   | 25    | 5000  | 75985 | 76016 |

  Scenario: a turn that is given back late
    Guards against an entry that ends as a connection fails after a long wait.
    Given 1 entries, of which all know each other
    And a target that takes 2 requests a second, counted over 1 s
    When the first entry takes a turn, and gives it back 0.2 s later or 3 s later
    Then it may send at once
