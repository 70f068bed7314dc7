Feature: Entries connect to enough agents, but not to too many
  An entry connects to some agents of each service. With too few connections
  some agents stay idle while others are overloaded; with too many, heartbeats
  and reports alone exceed a node's budget for control traffic.

  Scenario Outline: the number of connections depends on the deployment's size
  A deployment grows from one entry to hundreds. With a fixed number of
  connections, targets of a small deployment would never get a call, or the
  control traffic of a large one would grow with entries times agents.

    Given <entries> entries and <agents> agents of a service
    When each entry chooses its agents with at least <fewest>
    Then each entry has <links> connections
    And every agent has at least <least> connections

    Examples:
      | entries | agents | fewest | links | least |
      | 1       | 1      | 4      | 1     | 1     |
      | 1       | 30     | 4      | 30    | 1     |
      | 2       | 12     | 4      | 12    | 2     |
      | 60      | 40     | 4      | 4     | 1     |

  Scenario Outline: an entry with many connections gets reports less often
  Reports are the largest part of the control traffic, which must not grow
  with every service.

    When an entry with <links> connections sends its greeting to agents
    Then it asks for reports at least <period> ms apart

    Examples:
      | links | period |
      | 3     | 500    |
      | 44    | 7333   |

  Scenario: the entries of a host share its budget for reports
  If each of a host's two processes requested reports as if it were alone,
  together they would use the budget of two hosts.

    When one of 2 entries of a host with 22 connections sends its greeting
    Then it asks for reports at least 7333 ms apart

  Scenario Outline: the entries of a host share its connections
  A host runs several entry processes to handle its token rate. If each opened
  as many connections as a single process may, the host would cause the
  control traffic of several hosts; with too few, agents would stay idle.

    Given a host with <processes> entry processes among <entries> entries
    When each entry chooses among <agents> agents of a service
    Then the host has <links> connections
    And every agent has at least 1 connections

    Examples:
      | processes | entries | agents | links |
      | 1         | 60      | 30     | 4     |
      | 2         | 120     | 30     | 4     |
      | 3         | 180     | 30     | 6     |

  Scenario: the data centre of all connected agents is evacuated
  An entry prefers agents of its own data centre. Guards against an entry that
  refuses all calls while that is evacuated, since it has no connection to the
  others, and against agents that never hear of the end of the evacuation.

    Given an entry with 4 connections to agents here, of 6 here and 6 elsewhere
    When its data centre is evacuated
    Then it has 4 connections for new calls, all elsewhere
    And it keeps the connections to the agents here
    When its data centre is taken back
    Then it has 4 connections for new calls, all here

  Scenario: all connected agents of a service become unreachable at once
  A failed network switch cuts off all agents of a service that an entry is
  connected to, which the host list reflects only minutes later. Until then
  calls would be refused although other agents of the service are idle.

    Given an entry with 2 connections to a service of 5 agents
    When no process listens at the addresses of its agents
    Then it connects to the 2 agents next in its order
    And it tries no more than 4 agents at a time

  Scenario: a report without prefixes keeps the prefixes reported before
  Prefixes are reported less often than the load. If each report without them
  cleared the known ones, calls would be placed as if no cache were warm.

    Given a link whose agent reported 3 prefixes
    When a report without prefixes comes
    Then the link knows 3 prefixes
    When a report with 1 prefix comes
    Then the link knows 1 prefixes

  Scenario Outline: a long host list is read less often
  With thousands of hosts the list has hundreds of kilobytes. If it were read
  each second, it would make up nearly all traffic of an idle entry.

    When one of <processes> entries of a host reads <size> bytes of host list
    Then the next reading comes after <pause> ms

    Examples:
      | processes | size   | pause  |
      | 1         | 0      | 1000   |
      | 1         | 2048   | 1000   |
      | 1         | 32048  | 60000  |
      | 2         | 32048  | 120000 |
