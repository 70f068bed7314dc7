Feature: Connections enough for every agent, and no more
  An entry connects to some agents of each service. With few of them agents
  stand idle beside a crowded one; with many, heartbeats and reports alone
  break a node's budget for control.

  Scenario Outline: the number of connections follows the deployment
  A deployment grows from one entry to hundreds. An operator of a small one
  would notice targets that never get a call, one of a large one would notice
  control traffic that grows with the product of both.

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

  Scenario Outline: reports come less often to an entry with many connections
  Reports are the largest part of control traffic. An operator would notice
  an entry whose control traffic grows with every service.

    When an entry with <links> connections greets its agents
    Then it asks for reports at least <period> ms apart

    Examples:
      | links | period |
      | 3     | 500    |
      | 44    | 7333   |

  Scenario: the entries of a host share the bytes of reports
  Two processes on a host that each asked for reports as if alone would spend
  the budget of two hosts.

    When one of 2 entries of a host with 22 connections greets an agent
    Then it asks for reports at least 7333 ms apart

  Scenario Outline: the entries of a host share its connections
  A host runs several entry processes to carry its tokens. If each took what
  one alone may, its operator would see control traffic of several hosts; if
  they took too few, agents would stand idle.

    Given a host with <processes> entry processes among <entries> entries
    When each entry chooses among <agents> agents of a service
    Then the host has <links> connections
    And every agent has at least 1 connections

    Examples:
      | processes | entries | agents | links |
      | 1         | 60      | 30     | 4     |
      | 2         | 120     | 30     | 4     |
      | 3         | 180     | 30     | 6     |

  Scenario: all agents that an entry has of a service are gone at once
  A switch takes the few agents that an entry has connections to. The host
  list shows it minutes later. Until then callers would be refused, though
  other agents of the service are idle.

    Given an entry with 2 connections to a service of 5 agents
    When nobody listens at the addresses of its agents
    Then it connects to the 2 agents next in its order
    And it tries no more than 4 agents at a time

  Scenario: a report without prefixes keeps those that were told before
  Prefixes come less often than the load. An entry that forgot them with each
  report between would place calls as if no cache were warm.

    Given a link whose agent reported 3 prefixes
    When a report without prefixes comes
    Then the link knows 3 prefixes
    When a report with 1 prefix comes
    Then the link knows 1 prefixes

  Scenario Outline: a long host list is read less often
  Thousands of hosts make a list of hundreds of kilobytes. Read each second
  it would be nearly all of an entry's traffic without callers.

    When one of <processes> entries of a host reads <size> bytes of host list
    Then the next reading comes after <pause> ms

    Examples:
      | processes | size   | pause  |
      | 1         | 0      | 1000   |
      | 1         | 2048   | 1000   |
      | 1         | 32048  | 60000  |
      | 2         | 32048  | 120000 |
