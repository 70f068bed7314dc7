Feature: Requests are counted by why they were not answered in time

  Scenario Outline: one request counts under one cause
    If many callers complain at once, reading the timeline of each request
    takes an hour, and the most frequent cause has to be known first.
    Given log lines of a request that <behaviour>
    When the causes are counted
    Then one request of the route counts as "<cause>"

    Examples:
      | behaviour                                      | cause                            |
      | was answered in time                           | in time                          |
      | was sent and has no end                        | unfinished when its entry ended  |
      | broke off after its target was leaving         | broken off, target was leaving   |
      | broke off at a target that was not leaving     | broken off, target lost          |
      | was answered by its target with 500            | server error from the target     |
      | was refused with the retry budget spent        | refused, retry budget spent      |
      | was refused as no target accepted it           | refused                          |
      | lost its answer                                | answer from the target lost      |
      | was late because of a pause                    | late, paused                     |
      | was late because of a pause and had moved      | late, paused during a move       |
      | was late from its start                        | late, waited for the target      |
      | was late from its start after a failed attempt | late, after a failed attempt     |
      | was unfinished when its entry stopped          | entry stopped                    |
      | was accepted by a leaving entry and unfinished | entry stopped, accepted too late |
      | was refused by a leaving entry                 | refused, entry was leaving       |
      | had no answer by its deadline                  | timed out                        |
      | lost its answer with the retry budget spent    | answer from the target lost      |
      | was abandoned by its caller                    | caller left                      |
      | was refused as no target had room              | refused, no room at targets      |
      | ended with its entry while it waited for room  | refused, no room at targets      |
      | was late as it had waited for room             | late, waited for room            |

  Scenario: a request identifier that was used at two entries
    A caller lost its first entry and sent the request again with the same
    identifier. The request is counted for each entry, or one loss would hide
    the other.
    Given log lines of a request that was answered in time, at two entries
    When the causes are counted
    Then two requests of the route count as "in time"

  Scenario: requests that reached leaving entries
    While hosts are replaced one by one, the counts show whether entries
    accept requests that they can't finish, or refuse those they could.
    Given log lines of requests that reached leaving entries
    When the requests at leaving entries are counted
    Then 2 were accepted, of which 1 broke off, and 1 was refused

  Scenario: no entry was leaving
    Given log lines of a request that was answered in time
    When the requests at leaving entries are counted
    Then no table of leaving entries is printed

  Scenario: causes are weighted by the value that was lost
    The most frequent cause may cost little, since many short answers together
    can be worth less than one long answer.
    Given log lines of requests for 100 tokens each
      | request | route   | output tokens | end         |
      | r-1     | reports | 0             | answered    |
      | r-2     | reports | 20            | broken_off  |
      | r-3     | reports | 10            | late        |
      | r-4     | tags    | 0             | broken_off  |
      | r-5     | other   | 0             | broken_off  |
      | r-6     | reports | 10            | caller_left |
    When the lost value is computed with "reports=10,4 tags=2"
    Then the lost shares of the total value are
      | route   | cause                       | lost  |
      | reports | in time                     | 0.000 |
      | reports | broken off, target lost     | 0.422 |
      | reports | late, waited for the target | 0.188 |
      | tags    | broken off, target lost     | 0.062 |
