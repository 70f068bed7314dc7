Feature: Connections of callers that break or fall silent
  Callers sit behind shop floors' and airports' networks. Their connections
  to an entry are reset, or pass nothing any more while both ends believe in
  them. The rest of an answer comes from any entry by its identifier; what the
  first entry held for the connection must come free.

  Scenario Outline: a caller's connection is lost in the middle of an answer
  Something between the caller and its entry resets the connection, or loses
  track of it so that nothing passes. The caller asks another entry for the
  rest after its last token, and sees each token once.

    Given a deployment of 2 entries and 1 target with slow steps
    And a relay before the first entry
    When a caller reads a stream of 60 tokens through the relay
    And after 10 tokens the relay before the entry gets the fault <fault>
    And the caller resumes at the last entry
    Then both parts together are whole with 60 tokens
    And the engines started it once
    And the first entry holds no call

    Examples:
      | fault                                            |
      | {"cut": true}                                    |
      | {"silence": "existing"}                          |
      | {"silence": "existing", "direction": "backward"} |

  Scenario Outline: a caller's connection is lost before its first token
  The caller's connection is lost while its billed report waits for the first
  token. The caller sends the call again with its key to another entry, and
  the report runs once.

    Given a deployment of 2 entries and 1 target with slow steps
    And a relay before the first entry
    And the engines make no steps
    When a report of 20 tokens with a key is sent through the relay
    And the engines have started it
    And the relay before the entry gets the fault <fault>
    And the engines make steps again
    And the call with the key is repeated 1 time at the last entry
    Then each repeat has the same whole answer of 20 tokens
    And the engines started it once
    And the first entry holds no call

    Examples:
      | fault                   |
      | {"cut": true}           |
      | {"silence": "existing"} |

  Scenario: a caller that takes nothing is given up
  A caller's device sleeps with its connection open and takes nothing for
  good. Its entry gives the connection up after a while and lets the answer
  go; otherwise each such caller would hold memory there for ever.

    Given a deployment whose entry gives silent callers up after 1000 ms
    When a caller stops reading a stream of 3000 tokens
    Then the entry closes the call before its end by itself
    And the first entry holds no call

  Scenario: a caller that takes nothing does not hold up a shutdown
  The entry is told to stop while such a caller's answer is on its way. It
  exits when it has given the caller up, long before the longest time that a
  shutdown may take.

    Given a deployment whose entry gives silent callers up after 1000 ms
    When a caller stops reading a stream of 3000 tokens
    And the entry is told to stop with the stopped caller
    Then the first entry has exited with 0
    And its shutdown was not overdue
