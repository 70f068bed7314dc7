Feature: What kept requests from being in time is counted from log lines

  Scenario Outline: one request
    Many callers complain at once. Reading the ways of their requests one by
    one takes an hour, and the commonest cause is what has to be known.
    Given log lines of a request that <story>
    When the causes are counted
    Then one request of the route counts as "<cause>"

    Examples:
      | story                                          | cause                        |
      | was answered                                   | in time                      |
      | was sent and has no end                        | under way as its entry ended |
      | broke off after its target had notice          | broken off, target had notice |
      | broke off at a target that had none            | broken off, target lost      |
      | was answered by its target with 500            | failed by the target         |
      | was refused with no retry left                 | refused, no retry left       |
      | was refused as no target took it               | refused                      |
      | lost its answer                                | answer of the target lost    |
      | was late as it paused                          | late, paused                 |
      | was late as it paused and had moved            | late, paused in a move       |
      | was late at its start                          | late, waited for the target  |
      | was late at its start after a failed attempt   | late, after failed tries     |
      | outlasted the leaving of its entry             | entry stopped                |
      | was taken by a leaving entry and outlasted it  | entry stopped, taken as it left |
      | was refused by a leaving entry                 | refused, entry about to stop |
      | had no answer at its deadline                  | no answer in its time        |
      | lost its answer with no retry left             | answer of the target lost    |
      | was left by its caller                         | caller left                  |

  Scenario: an attempt of a caller at two entries
    Its first entry was lost and a careless caller used its identifier again.
    Each entry's part counts by itself, or one loss would hide the other.
    Given log lines of a request that was answered, at two entries
    When the causes are counted
    Then two requests of the route count as "in time"

  Scenario: what leaving entries did with requests
    Hosts are replaced one by one, and reports break off. Whether entries
    take what they can't end, or refuse what they could, shows in the counts.
    Given log lines of requests that came to leaving entries
    When the requests at leaving entries are counted
    Then 2 were taken, of which 1 broke off, and 1 was refused

  Scenario: no entry was leaving
    Given log lines of a request that was answered
    When the requests at leaving entries are counted
    Then there is no table of them

  Scenario: causes are weighed by the worth that they took
    The commonest cause may cost little: short answers are many, and one long
    answer that is lost is worth more than all of them.
    Given log lines of requests for 100 tokens each
      | request | route   | output tokens | end         |
      | r-1     | reports | 0             | answered    |
      | r-2     | reports | 20            | broken_off  |
      | r-3     | reports | 10            | late        |
      | r-4     | tags    | 0             | broken_off  |
      | r-5     | other   | 0             | broken_off  |
      | r-6     | reports | 10            | caller_left |
    When the losses are weighed with "reports=10,4 tags=2"
    Then the shares of all worth that were lost are
      | route   | cause                       | lost  |
      | reports | in time                     | 0.000 |
      | reports | broken off, target lost     | 0.422 |
      | reports | late, waited for the target | 0.188 |
      | tags    | broken off, target lost     | 0.062 |
