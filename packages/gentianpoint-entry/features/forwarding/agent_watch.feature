Feature: Which entries are connected to an agent
  Each agent sends changes of its engine to all connected entries, ten times a
  second.

  Scenario Outline: how many entries watch an agent
    Guards against an agent that sends each change to every entry, which would
    cost a host more than its callers do, and against one whose reports stop
    because the few entries that watch it are lost.
    Given <entries> entries and an agent <state>
    Then <watchers> of them are connected to it

    Examples:
      | entries | state                              | watchers |
      | 3       | that reports                       | 3        |
      | 6       | that reports                       | 6        |
      | 68      | that reports                       | 3        |
      | 380     | that reports                       | 3        |
      | 68      | whose last report is 4 seconds old | 6        |
      | 68      | whose last report is an hour old   | 12       |

  Scenario Outline: an entry with generations at the engine
    Such an entry needs the agent's turns to move its generations, and the
    earliest word of a notice.
    Given 68 entries and an agent that reports
    When the entry ranked last <state>
    Then it <outcome> connected to the agent

    Examples:
      | state                                               | outcome |
      | has no request at the engine                        | is not  |
      | has had a request there for 0.3 s                   | is not  |
      | has had a request there for 2 s                     | is      |
      | has had a request there for 0.1 s as it gets notice | is      |
