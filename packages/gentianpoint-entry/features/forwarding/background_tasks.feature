Feature: An entry outlives errors in tasks that it can do without
  What such a task does is lost for a second. Requests are served meanwhile.

  Scenario: a task raises an unexpected error
    Guards against one item of another program's that ends an entry, again
    after each start.
    Given a task that raises an error at its first two starts
    When it runs in the background for 10 seconds
    Then it has started 3 times
    And 2 lines name the task and its error

  Scenario: an entry stops
    Given a task that raises an error at its first two starts
    When it runs in the background for 0.5 seconds
    Then it has started 1 times
