Feature: What an agent knows of answers' lengths
  Nobody tells an agent how long an answer will be. If it learned wrongly from
  answers that were cut, or from an old mix, it would promise memory that the
  engine doesn't have, and customers would see their streams preempted.

  Scenario Outline: the distribution follows what ended, cut or not
    When <ended> answers of <length> tokens end and <cut> are cut after <after>
    Then half of the answers are at most between <low> and <high> tokens

    Examples: whole answers
      | ended | length | cut | after | low | high |
      | 200   | 40     | 0   | 1     | 34  | 48   |
      | 200   | 800    | 0   | 1     | 700 | 960  |

    Examples: cut answers tell only that they went so far
      | ended | length | cut | after | low | high |
      | 100   | 800    | 300 | 20    | 700 | 960  |
      | 100   | 800    | 300 | 700   | 700 | 960  |

    Examples: nothing known, or little, is taken to be long
      | ended | length | cut | after | low | high   |
      | 0     | 1      | 0   | 1     | 20  | 131072 |
      | 0     | 1      | 200 | 300   | 300 | 131072 |

  Scenario: lengths that drift are followed
    When 400 answers of 50 tokens end and 0 are cut after 1
    And 500 answers of 600 tokens end and 0 are cut after 1
    Then half of the answers are at most between 520 and 720 tokens

  Scenario Outline: what remains depends on what came
    When 3 answers of 20 tokens and 1 of 1000 end, 100 times in turn
    Then of answers at <tokens> tokens half end between <low> and <high>

    Examples:
      | tokens | low | high |
      | 0      | 16  | 24   |
      | 30     | 840 | 1200 |
      | 500    | 840 | 1200 |

  Scenario: customers and templates are told apart once they are known
    When customer big gets 50 answers of 900 tokens to "report of"
    And customer big gets 50 answers of 8 tokens to "tag for"
    And customer small gets 50 answers of 30 tokens to "mail to"
    Then an answer for big to "report of" is at most 1100 tokens
    And an answer for big to "tag for" is at most 12 tokens
    And an answer for small to "mail to" is at most 40 tokens

  Scenario: the state is bounded whatever the number of customers
    When 48000 customers ask once each beside one that asks 2000 times
    Then fewer than 300 kinds are kept
    And the large customer's lengths are still known

  Scenario Outline: the forecast is the peak of the running set
    Given answers that all have <length> tokens
    When <streams> streams with prompts of <prompt> tokens have <tokens> out
    Then the peak in blocks of 16 is between <low> and <high>

    Examples:
      | length | streams | prompt | tokens | low  | high |
      | 400    | 10      | 160    | 0      | 300  | 420  |
      | 400    | 10      | 160    | 380    | 340  | 390  |
      | 20     | 10      | 160    | 0      | 110  | 130  |
      | 20     | 100     | 0      | 0      | 100  | 300  |

  Scenario: a limit that callers set bounds the forecast
    Given answers that all have 4000 tokens
    When 10 streams limited to 64 tokens are forecast
    Then the peak in blocks of 16 is between 10 and 50

  Scenario: a stream that ends leaves nothing of itself in the forecast
    Streams end while the agent learns that answers have become longer. If a
    stream were taken out as it would be forecast by then, not as it was
    counted, a rest would stay behind for each; customers would wait before an
    engine that has room.
    Given answers that all have 400 tokens
    When 10 streams with prompts of 160 tokens have 0 out
    And other lengths are learned and half of the streams end
    Then the peak in blocks of 16 is between 150 and 210
    When all streams end
    Then the peak in blocks of 16 is between 0 and 0

  Scenario: streams that run for long are forecast anew in turn
    A forecast made when a stream started takes it for nearly done after a
    while, however long it goes on. The engine would run out of memory that
    the forecast calls free, and customers would see streams preempted.
    Given answers that all have 400 tokens
    When 20 streams with prompts of 160 tokens have 0 out
    Then each of 20 streams is read anew in its turn

  Scenario: a template is learned from all who use it
    An app's template reaches an agent through many customers, each of whom
    sends it only now and then. If each customer taught the agent alone, the
    next one's tag would wait behind reports as if it were one.
    When 30 customers get 2 answers of 8 tokens to "tag for" each
    And 30 customers get 2 answers of 900 tokens to "report of" each
    Then an answer for newcomer to "tag for" is at most 12 tokens
    And an answer for newcomer to "report of" is at most 1100 tokens

  Scenario: programs that set a limit are told from those that set none
    The service's limit is that of its longest answers. A program for reports
    asks for as many; one for tags sets no limit, and the service's is in
    force. Were both taken for one kind, tags would wait behind reports.
    Given a service whose answers have at most 1500 tokens
    When 60 answers of 6 tokens end whose callers set no limit
    And 60 answers of 700 tokens end whose callers set 1500
    Then an answer whose caller sets no limit is taken to be short
    And an answer whose caller sets 1500 is taken to be long
