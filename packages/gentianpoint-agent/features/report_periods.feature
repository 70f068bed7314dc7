Feature: An entry with many connections gets fewer reports
  Reports to an entry grow with its connections. What such an entry doesn't
  need often is sent rarely, so that control traffic stays within the node's
  budget.

  Scenario Outline: only small entries get prefixes with each report
  A warm cache makes a report several times longer. An operator would see
  control traffic double as soon as caches are warm.

    Given an agent that reports each <own> ms
    When an entry asks for reports <asked> ms apart
    Then it gets them each <load> ms, with prefixes each <prefixes> ms

    Examples:
      | own | asked  | load  | prefixes |
      | 500 | 0      | 500   | 500      |
      | 500 | 500    | 500   | 500      |
      | 500 | 7333   | 7333  | 73330    |
      | 500 | 999999 | 60000 | 600000   |
