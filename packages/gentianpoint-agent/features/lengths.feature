Feature: Estimates of answer lengths and memory
  Nobody tells an agent how long an answer will be. If it learned wrongly from
  answers that were cut off, or from an old mix, it would admit calls for which
  the engine lacks memory, and customers would see their streams preempted.

  Scenario Outline: the distribution follows complete and cut-off answers
    When <ended> answers of <length> tokens end and <cut> are cut off after <after>
    Then the median answer has between <low> and <high> tokens

    Examples: complete answers
      | ended | length | cut | after | low | high |
      | 200   | 40     | 0   | 1     | 34  | 48   |
      | 200   | 800    | 0   | 1     | 700 | 960  |

    Examples: the tokens of a cut-off answer are a lower bound of its length
      | ended | length | cut | after | low | high |
      | 100   | 800    | 300 | 20    | 700 | 960  |
      | 100   | 800    | 300 | 700   | 700 | 960  |

    Examples: with few or no observations answers are assumed to be long
      | ended | length | cut | after | low | high   |
      | 0     | 1      | 0   | 1     | 20  | 131072 |
      | 0     | 1      | 200 | 300   | 300 | 131072 |

  Scenario: the distribution follows a drift of the lengths
    When 400 answers of 50 tokens end and 0 are cut off after 1
    And 500 answers of 600 tokens end and 0 are cut off after 1
    Then the median answer has between 520 and 720 tokens

  Scenario Outline: the remaining length depends on the tokens so far
    When 3 answers of 20 tokens and 1 of 1000 end, 100 times in turn
    Then the median answer that has reached <tokens> tokens has between <low> and <high>

    Examples:
      | tokens | low | high |
      | 0      | 16  | 24   |
      | 30     | 840 | 1200 |
      | 500    | 840 | 1200 |

  Scenario: known customers and templates have lengths of their own
    When customer big gets 50 answers of 900 tokens to "report of"
    And customer big gets 50 answers of 8 tokens to "tag for"
    And customer small gets 50 answers of 30 tokens to "mail to"
    Then an answer for big to "report of" is at most 1100 tokens
    And an answer for big to "tag for" is at most 12 tokens
    And an answer for small to "mail to" is at most 40 tokens

  Scenario: the state is bounded for any number of customers
    When 48000 customers send one call each and one customer sends 2000
    Then fewer than 300 groups are kept
    And the large customer's lengths are still known

  Scenario Outline: the forecast is the peak memory of the running set
    Given answers that all have <length> tokens
    When <streams> streams with prompts of <prompt> tokens have generated <tokens>
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

  Scenario: an ended stream leaves no remainder in the forecast
    Streams end while the agent learns that answers have become longer. If a
    stream were subtracted with its current forecast and not with the values
    that were added, each would leave a remainder in the sums, and customers
    would wait although the engine has room.
    Given answers that all have 400 tokens
    When 10 streams with prompts of 160 tokens have generated 0
    And longer answers are learned and half of the streams end
    Then the peak in blocks of 16 is between 150 and 210
    When all streams end
    Then the peak in blocks of 16 is between 0 and 0

  Scenario: long-running streams are recomputed in turn
    A forecast that was made at a stream's start takes the stream for nearly
    complete after a while, however long it goes on. The engine would run out
    of memory that is forecast as free, and customers would see their streams
    preempted.
    Given answers that all have 400 tokens
    When 20 streams with prompts of 160 tokens have generated 0
    Then each of 20 streams is recomputed in turn

  Scenario: a template is learned from all customers that use it
    An app's template reaches an agent through many customers, each of which
    uses it only now and then. If each customer's lengths were learned apart, a
    new customer's tag would wait behind reports as if it were one.
    When 30 customers get 2 answers of 8 tokens to "tag for" each
    And 30 customers get 2 answers of 900 tokens to "report of" each
    Then an answer for newcomer to "tag for" is at most 12 tokens
    And an answer for newcomer to "report of" is at most 1100 tokens

  Scenario: programs with and without a token limit are told apart
    The service's limit is that of its longest answers. A program for reports
    asks for as many tokens. One for tags sets no limit, so the service's limit
    applies to it. If both were in one group, tags would wait behind reports.
    Given a service whose answers have at most 1500 tokens
    When 60 answers of 6 tokens end whose callers set no limit
    And 60 answers of 700 tokens end whose callers set 1500
    Then an answer whose caller sets no limit is estimated to be short
    And an answer whose caller sets 1500 is estimated to be long
