Feature: The stand-in engine over HTTP
  Links and engines fail while streams run. What an agent may conclude from
  it depends on whether the stream goes on, so the engine has to behave as
  the platform's do; each check here goes through the product's adapter.

  Scenario: a stream is resumed where its connection broke
    The link breaks after some tokens. The engine runs on, and the reader
    who comes back after the last token it has misses none and gets none
    twice.
    Given an engine with step_ms=1
    And its faults are {"drop_after": {"*": 3}}
    When stream a starts with prompt tokens:8
    And stream a is resumed after the last token
    Then the reader has tokens 1 to 8 and the end stop
    And the witness counts 1 starts

  Scenario: all connections break off at one moment
    A host between agent and engine is replaced. The streams run on, and
    whoever comes back gets the rest.
    Given an engine with step_ms=1
    And its faults are {"freeze": true}
    When stream a starts with prompt tokens:4 and its connection is dropped
    Then the start failed and may have taken effect
    When its faults become {"freeze": false}
    And stream a is resumed after the last token
    Then the reader has tokens 1 to 4 and the end stop

  Scenario Outline: the reply to a start is lost
    The start takes effect, but the agent hears nothing good. It must not
    take this for a refusal: the stream runs.
    Given an engine with step_ms=1
    And its faults are {"lose_start_replies": 1, "lose_by": "<by>"}
    When stream a starts with prompt tokens:4
    Then the start failed and may have taken effect
    When stream a is resumed after the last token
    Then the reader has tokens 1 to 4 and the end stop
    And the witness counts 1 starts

    Examples:
      | by     |
      | status |
      | drop   |

  Scenario Outline: a start is refused for sure
    Given an engine with <options>
    And its faults are <faults>
    When stream a starts with prompt <prompt>
    Then the start failed and took no effect
    And the witness counts 0 starts

    Examples:
      | options       | faults                  | prompt   |
      | max_waiting=0 | {}                      | tokens:1 |
      | step_ms=1     | {"refuse_starts": true} | tokens:1 |
      | model=        | {}                      | tokens:1 |
      | blocks=1      | {}                      | tokens:1-and-then-more-than-sixteen-tokens-of-prompt,-which-one-block-does-not-hold |

  Scenario: an identifier is started once
    A start is repeated after its reply was lost, long after the stream has
    ended. The caller pays for a second report that it never sees.
    Given an engine with step_ms=1 kept=0
    When stream a starts with prompt tokens:1
    And stream a starts with prompt tokens:1
    Then the start failed and took no effect
    And the witness counts 1 starts

  Scenario: output that is held back goes on later
    A connection brings nothing for a while, though the engine generates.
    Given an engine with step_ms=1
    And its faults are {"pause_output": ["a"]}
    When a reader leaves after starting stream a with prompt tokens:5
    Then the witness counts 5 tokens in the end
    When its faults become {"pause_output": []}
    And stream a is read from the start
    Then the reader has tokens 1 to 5 and the end stop

  Scenario: a prompt that is started twice is counted twice
    A caller retries, and two hosts both start its report: it would be
    billed twice. Identifiers differ, so only the prompt shows it.
    Given an engine with step_ms=1
    When stream a starts with prompt tokens:2
    And stream b starts with prompt tokens:2
    Then the witness counts the prompt tokens:2 2 times

  Scenario: a frozen engine answers calls but generates nothing
    Given an engine with step_ms=1
    And its faults are {"freeze": true}
    When a reader leaves after starting stream a with prompt tokens:2
    And stream a is cancelled
    Then the cancelled stream was known
    And the witness counts 0 tokens

  Scenario: a reader that goes away stops nothing
    Given an engine with step_ms=1
    When a reader leaves after starting stream a with prompt tokens:300
    Then the witness counts 300 tokens in the end

  Scenario Outline: orders with old fencing numbers
    A host is replaced while its old agent is paused. The old one wakes and
    gives an order that the new one has replaced already.
    Given an engine with <options>
    When an order to load model x comes with fencing number 7
    And an order to load model y comes with fencing number 6
    Then the last order was <outcome>
    And the engine holds model <model> in the end

    Examples:
      | options       | outcome | model |
      | fencing=True  | refused | x     |
      | fencing=False | taken   | y     |

  Scenario: a load reads the weights from the store
    Given a weight store with size=200000
    And an engine with fencing=True
    When an order to load model x comes with fencing number 1
    Then the engine holds model x in the end
    And the weight store sent 200000 bytes of x/2

  Scenario: load figures lag
    Placement that trusts them sends everyone to the engine that was empty a
    moment ago.
    Given an engine with load_lag_ms=600000
    And its faults are {"freeze": true}
    When a reader leaves after starting stream a with prompt tokens:2
    Then the load report shows 0 streams

  Scenario Outline: cache events come with gaps
    Given an engine with cache_lag_ms=1 cache_gap_share=<share> step_ms=1
    When 3 long prompts run
    Then <count> cache events are published up to number 3

    Examples:
      | share | count |
      | 0     | 3     |
      | 1     | 0     |

  Scenario Outline: an engine goes away
    Given an engine with step_ms=1
    When its faults become <faults>
    Then the engine ends

    Examples:
      | faults                |
      | {"die": true}         |
      | {"reclaim_in_ms": 50} |

  Scenario: a mistyped fault is refused
    Given an engine with step_ms=1
    Then the fault {"freez": true} is refused
