Feature: The local deployment
  A new user has two commands, and nothing else to learn from: when the
  deployment does not come up, leaves processes behind, or ends someone
  else's, they meet that before anything of the product.

  Scenario: the demo shows a generation and stops everything
    When the demo runs
    Then it ends with exit code 0
    And it shows the generation, the hops and the end of all processes

  Scenario: a deployment comes up, is described, and goes down
    Given a deployment of profile taller is up
    Then its page names 3 entries, 8 agents, 8 targets and 10 customers
    And each entry answers the last customer
    And coming up once more is refused
    When it goes down
    Then none of its processes is left
