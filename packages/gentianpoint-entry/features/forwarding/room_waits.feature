Feature: Generations are sent where room was claimed, and wait for it
  Memory that several entries see as free is taken by the first generation, and
  the next ones preempt others.

  Scenario: two entries claim the last room
    Guards against two generations for room that is there for one.
    Given 2 entries that know engine a, with room for 1 generation
    When each entry gets a generation
    And there is room for 1 more after 1 s, which a report shows
    Then 1 of them is sent within 0.1 s, and the other within 1.1 s

  Scenario: an agent that is gone
    Guards against a generation that is not sent since an agent is missing.
    Given 1 entry that knows engine a, with room for 1 generation
    But no agent replies
    When each entry gets a generation
    Then 1 of them is sent within 0.1 s

  Scenario: an agent that is gone, beside an engine that is full
    Guards against generations for memory that reports show as taken, once the
    agent can't refuse them.
    Given 1 entry that knows engine a, with room for 0 generations
    But no agent replies
    When each entry gets a generation
    And there is room for 1 more after 1 s, which a report shows
    Then none is sent within 0.9 s
    And 1 of them is sent within 1.1 s

  Scenario: reports that stop
    Guards against a generation that waits for a report that never comes.
    Given 1 entry that knows engine a, with room for 0 generations
    When each entry gets a generation
    And there is room for 1 more after 1 s, which no report shows
    Then none is sent within 0.9 s
    And 1 of them is sent within 1.3 s

  Scenario: room is expected late, and comes early without a report
    Guards against a forecast that keeps a generation from room that is there.
    Given 1 entry that knows engine a, with room for 0 generations
    And agents expect room in 9 s
    When each entry gets a generation
    And there is room for 1 more after 1 s, which no report shows
    Then 1 of them is sent within 1.3 s

  Scenario: a generation that can't be served in its time
    Guards against a caller that waits in vain, and one that is told that its
    request has not run although it has.
    Given 1 entry that knows engine a, with room for 0 generations
    And agents expect room in 8 s
    When a generation is served that has 5 s
    Then it is refused within 0.1 s as not run, and may return in 8 to 13 s
    And nothing was sent

  Scenario: room that comes too late, while slots are idle
    Guards against a refusal because of a forecast while half of the slots are
    idle and nothing waits.
    Given 1 entry that knows engine a, with room for 0 generations
    And agents expect room in 8 s
    But only 2 of the engine's slots are taken
    When each entry gets a generation that has 5 s
    Then none is sent within 3 s
    And 1 of them is sent within 5 s

  Scenario: no room until the end
    Guards against a caller that waits longer than its response can be of use.
    Given 1 entry that knows engine a, with room for 0 generations
    When each entry gets a generation that has 5 s
    Then none is sent within 5 s
    And 1 of them is refused between 3 and 4.5 s

  Scenario: an entry that stops while requests wait
    Guards against a caller that is told that its request may have run, and
    does not send it again.
    Given 1 entry that knows engine a, with room for 0 generations
    When a generation is served that has 20 s
    And the entry stops after 1 s
    Then it is refused within 1.1 s as not run, and may return in 0 to 1 s
    And nothing was sent
    And no request waits

  Scenario: a caller that leaves while its request waits
    Guards against a queue that is blocked by a request that is gone.
    Given 1 entry that knows engine a, with room for 0 generations
    When the caller of the first of 2 generations leaves after 0.5 s
    And there is room for 1 more after 1 s, which a report shows
    Then the generation sent is number 2
    And no request waits

  Scenario: a generation that comes while another waits
    Guards against new requests that take the room for which others wait.
    Given 1 entry that knows engine a, with room for 0 generations
    When 2 generations come one after the other
    And there is room for 1 more after 1 s, which a report shows
    Then the generation sent is number 1

  Scenario: an urgent generation that comes while another waits
    Guards against short generations that are late behind long ones.
    Given 1 entry that knows engine a, with room for 0 generations
    When 2 generations come one after the other, the second one urgent
    And there is room for 1 more after 1 s, which a report shows
    Then the generation sent is number 2

  Scenario: a smaller generation behind a larger one
    Guards against room that stays unused while the first one does not fit.
    Given 1 entry that knows engine a, with room for 0 generations
    When 2 generations come one after the other, the second one smaller
    And there is room for half a generation after 1 s, which a report shows
    Then the generation sent is number 2

  Scenario: a smaller generation while there is always news
    Guards against a smaller generation that is never tried, since each report
    makes the first one be tried again.
    Given a generation that is tried, and a smaller one behind it
    When a report comes during the trial, and the first one fits nowhere
    Then the smaller one is tried next, and then the first one again

  Scenario: a caller that leaves while its request is tried
    Guards against requests that are not tried any more since the one that had
    the turn is gone.
    Given 1 entry that knows engine a, with room for 0 generations
    And agents take 100 ms to reply
    When the caller of the first of 2 generations leaves after 0.06 s
    And there is room for 1 more after 1 s, which a report shows
    Then the generation sent is number 2
    And no request waits

  Scenario: room that is leased, used and free again
    Guards against a wait for the next trial although a report shows that the
    room is free which another generation had.
    Given 2 entries that know engine a, with room for 1 generation
    When each entry gets a generation
    And a report after 0.1 s shows that engine a is full
    And there is room for 1 more after 0.2 s, which a report shows
    Then 1 of them is sent within 0.05 s, and the other within 0.22 s

  Scenario: a stream with events asks for room, beside one that waits
    Guards against reports that are not seen as news by those that wait, since
    the stream has asked for the same engine's state.
    Given 1 entry that knows engine a, with room for 0 generations
    When 2 generations come one after the other, of which the second has events
    And there is room for 1 more after 0.2 s, which a report shows
    Then 2 of them is sent within 0.22 s

  Scenario: a stream that has events already
    Guards against a pause of a running stream because engines are full.
    Given 1 entry that knows engine a, with room for 0 generations
    When each entry gets a generation whose stream has events
    Then 1 of them is sent within 0.1 s

  Scenario: claims that are refused
    Guards against a generation that waits although another engine has room.
    Given 1 entry that knows engines abcd, with room for 1 generation
    But the agents of abc have none
    When each entry gets a generation
    Then 1 of them is sent within 0.3 s

  Scenario: claims that are refused everywhere
    Guards against a generation that asks one agent after the other, while
    those refuse others for it.
    Given 1 entry that knows engines abcd, with room for 1 generation
    But the agents of abcd have none
    When each entry gets a generation
    Then 3 agents are asked within 0.1 s

  Scenario Outline: room that is not used
    Guards against memory that stays reserved for a request that is not there.
    Given 1 entry that knows engine a, with room for 1 generation
    When a generation is <end>
    Then its room is given back once

    Examples:
      | end                                  |
      | not sent after all                   |
      | sent in vain, as the target is gone  |
      | ended before it was sent             |

  Scenario: without the switch
    Guards against claims in deployments that did not ask for them.
    Given 1 entry without room control that knows engine a
    When each entry gets a generation
    Then 1 of them is sent within 0.1 s
    And no agent was asked for room

  Scenario: a move of a running generation
    Guards against a move that waits for room while its target leaves.
    Given 1 entry that knows engines ab, with room for 1 generation
    When a destination is chosen for a generation that moves
    Then there is one, and no agent was asked for room

  Scenario: a claim by datagram
    Given an agent that replies grant
    When room is claimed by datagram 1 times
    Then the replies are granted
    And the engine's state was applied

  Scenario: a claim that is refused by datagram
    Given an agent that replies refuse
    When room is claimed by datagram 1 times
    Then the replies are refused
    And room is expected in about 400 ms

  Scenario: a claim answered by another start of the target
    Guards against a generation that is sent to a start that has ended.
    Given an agent that replies grant
    But it replies for another start of the engine
    When room is claimed by datagram 1 times
    Then the replies are refused
    And the target is not used any more
    And the room was returned to the agent

  Scenario: a datagram that is lost
    Guards against a request that waits for a reply that does not come, and an
    agent that is not asked again after one lost datagram.
    Given an agent that replies silence, grant
    When room is claimed by datagram 2 times
    Then the replies are missing, granted

  Scenario: an agent that never replies
    Guards against each request waiting for an agent that is gone.
    Given an agent that replies silence
    When room is claimed by datagram 4 times
    Then the replies are missing, missing, missing, missing
    And the agent was asked 2 times

  Scenario: a claim of a request that is cancelled
    Guards against a lease for a caller that has left.
    Given an agent that replies silence
    When room is claimed by datagram, and the caller leaves
    Then the room was returned to the agent
