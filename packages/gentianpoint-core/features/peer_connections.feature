Feature: Connections are monitored with few heartbeats
  Heartbeats account for most of the control traffic of an entry with many
  connections. They are sent only if nothing else was, and less often while no
  call is open. A connection with open calls is still closed soon after it
  falls silent.

  Scenario Outline: heartbeats are sent only if nothing else was
  An entry has connections to dozens of agents. If each connection sent a
  heartbeat every second regardless of other messages, control traffic would
  exceed the node's budget.

    Given a connection with <calls> that sends a message each <period> ms
    When 20 ticks of its heartbeat pass
    Then the connection has sent <heartbeats> heartbeats

    Examples:
      | calls      | period | heartbeats |
      | open calls | 0      | 20         |
      | open calls | 500    | 0          |
      | no calls   | 0      | 2          |
      | no calls   | 500    | 0          |

  Scenario Outline: a silent connection is lost, sooner while calls are open
  The peer's host has failed without an error on the connection. A caller
  whose answer comes over the connection waits until it is closed; without
  open calls nobody waits.

    Given a connection with <calls> whose peer is silent
    When <ticks> ticks of its heartbeat pass
    Then the connection is <outcome>

    Examples:
      | calls      | ticks | outcome |
      | open calls | 3     | kept    |
      | open calls | 4     | lost    |
      | no calls   | 15    | kept    |
      | no calls   | 16    | lost    |

  Scenario Outline: a call opens on a connection that was silent
  Before the call the peer was allowed a long silence. That silence must not
  close the connection as soon as the call opens; nor may the caller wait long
  if the peer has really failed.

    Given a silent connection on which a call opens after 14 ticks
    When <ticks> ticks of its heartbeat pass
    Then the connection is <outcome>

    Examples:
      | ticks | outcome |
      | 17    | kept    |
      | 18    | lost    |
