Feature: What customers use of engines' memory in the whole fleet
  Entries tell each other what their own customers use, so that a customer
  that sends a little through each of many entries counts as a large one.

  Scenario Outline: usage that is forgotten
    Guards against a customer that waits for what it used long ago, and
    against one that counts as small since its generations are new.
    When a generation of 1000 tokens runs for <runs> s
    Then <later> s after its end its customer has used <usage> token-seconds

    Examples:
      | runs | later | usage |
      | 1    | 0     | 934   |
      | 5    | 0     | 3607  |
      | 5    | 5     | 1803  |
      | 100  | 0     | 7213  |
      | 100  | 20    | 451   |

  Scenario: customers of different weight
    Guards against a customer that waits as long as one with half its share.
    Given customer a has the weight 2.5
    When a and b have used 5000 token-seconds each
    Then a counts 2000 and b counts 5000 token-seconds

  Scenario Outline: a customer that sends ten times its share everywhere
    Guards against a customer that is small at each entry and so goes before
    others at all of them.
    Given <count> entries with 5 customers of equal share, one of which sends ten times as much
    When each tells all others what its customers use
    Then 1 s later each entry knows all customers' usage within 20%
    And the large customer has used ten times as much as any other

    Examples:
      | count |
      | 3     |
      | 25    |
      | 380   |

  Scenario Outline: rows that arrive twice or out of order
    Guards against usage that is counted twice, or that is replaced by older
    usage.
    When rows with the numbers <numbers> of 100 times as much arrive
    Then <adopted> of them are adopted
    And the customer has used <usage> token-seconds

    Examples:
      | numbers | adopted | usage |
      | 1       | 1       | 100   |
      | 1 1     | 1       | 100   |
      | 1 2 1 2 | 2       | 200   |
      | 3 1 2   | 1       | 300   |

  Scenario: a member that is lost
    Guards against a customer that waits for what it used through an entry
    that is gone.
    When a member tells a row and then nothing
    Then it counts until 4 s after
    And no rounding error is left of it

  Scenario: a member that tells its usage for hours
    Guards against sums that exceed a float, or drift from what was told, in
    an entry that runs for long.
    When 3 members tell the same usage each second for 3 hours
    Then their sum is three times as much

  Scenario: a member that starts again
    Guards against an entry that is not heard, since the numbers of its rows
    begin anew.
    When row 500 of an earlier run of this entry arrives
    Then its next row has the number 501

  Scenario: a row that was on its way for long
    Guards against a member that counts for twice the time, as a newly
    connected entry passes on what it told long ago.
    When a member tells a row and then nothing
    Then it is passed on for 1 s
    And a row that is 4 s late is not adopted

  Scenario: an entry where nobody waits
    Guards against messages in deployments that never use them.
    Given an entry with running generations, where nobody waits
    Then it tells nothing
    When requests wait there for 10 s
    Then it tells 10 rows
    And no row has more than 8 customers, those that use most

  Scenario Outline: rows that can't be right
    Guards against memory that another process fills, and against figures
    that exceed a float.
    When a row with <what> arrives
    Then it is not adopted

    Examples:
      | what                             |
      | a member of 300 characters       |
      | a customer of 300 characters     |
      | 65 customers                     |
      | a usage of 2 to the power of 60  |
      | a number of 2 to the power of 60 |

  Scenario Outline: weights that can't be used
    Guards against a customer that waits forever, or never, by a slip in a
    setting, and against an error that does not tell which part is wrong.
    When the weights are "<text>"
    Then they are refused, and the error quotes "<part>"

    Examples:
      | text       | part    |
      | a          | a       |
      | a=         | a=      |
      | =2         | =2      |
      | a=1,b=x    | b=x     |
      | a=0,b=1    | a=0     |
      | a=-1       | a=-1    |
      | a=nan      | a=nan   |
      | a=1,b=inf  | b=inf   |
      | a=1e999    | a=1e999 |
      | a=1,b=2,   |         |
      | a=1,b=2,a=3 | a=3    |

  Scenario Outline: weights that can be used
    When the weights are "<text>"
    Then a has the weight <weight>

    Examples:
      | text          | weight |
      |               | 1      |
      | b=2           | 1      |
      | a=2           | 2      |
      | b=3, a = 0.5  | 0.5    |
