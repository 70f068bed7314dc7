Feature: A connection shows life with few messages
  Heartbeats are most of what control costs an entry with many connections.
  They are sent only when nothing else was, and seldom while no call is open;
  a connection that carries calls is still given up soon after it falls
  silent.

  Scenario Outline: heartbeats are sent only when nothing else was
  An entry keeps connections to dozens of agents. If each beat every second
  whatever else it sends, an operator would see control traffic above the
  node's budget.

    Given a connection with <calls> that sends a message each <period> ms
    When 20 ticks of its heartbeat pass
    Then it has sent <heartbeats> heartbeats

    Examples:
      | calls      | period | heartbeats |
      | open calls | 0      | 20         |
      | open calls | 500    | 0          |
      | no calls   | 0      | 2          |
      | no calls   | 500    | 0          |

  Scenario Outline: a silent peer is given up, sooner while calls are open
  The peer's host is gone and nothing tells so. A caller whose answer comes
  over the connection waits until it is given up; without a caller nobody
  waits.

    Given a connection with <calls> whose peer is silent
    When <ticks> ticks of its heartbeat pass
    Then the connection is <outcome>

    Examples:
      | calls      | ticks | outcome |
      | open calls | 3     | kept    |
      | open calls | 4     | lost    |
      | no calls   | 15    | kept    |
      | no calls   | 16    | lost    |

  Scenario Outline: a call opens on a connection that was quiet
  The peer was allowed to be quiet for long. A call that opens must not find
  the connection given up for the quiet before it; nor may its caller wait
  long if the peer is really gone.

    Given a silent connection on which a call opens after 14 ticks
    When <ticks> ticks of its heartbeat pass
    Then the connection is <outcome>

    Examples:
      | ticks | outcome |
      | 17    | kept    |
      | 18    | lost    |
