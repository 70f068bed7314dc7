Feature: An entry with many connections is told less often
  Reports to an entry grow with its connections. What it does not need often
  is told seldom, so that control stays within the node's budget.

  Scenario Outline: prefixes come with each report only to small entries
  A warm cache makes a report several times longer. An operator would notice
  control traffic that doubles as soon as caches are warm.

    Given an agent that reports each <own> ms
    When an entry asks for reports <asked> ms apart
    Then it gets them each <load> ms, with prefixes each <prefixes> ms

    Examples:
      | own | asked  | load  | prefixes |
      | 500 | 0      | 500   | 500      |
      | 500 | 500    | 500   | 500      |
      | 500 | 7333   | 7333  | 73330    |
      | 500 | 999999 | 60000 | 600000   |
