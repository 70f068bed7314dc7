Feature: A request that ends its targets
  An engine ends as it begins to run a request, and the caller asks again.

  Scenario Outline: callers ask again through several entries
    Guards against a request that ends every engine of a service, since each
    entry and each key stand for a new request.
    Given a deployment of 2 entries and 4 targets
    When a generation that ends its engine, which may <repeat>, is asked for until 3 engines have ended
    Then both entries refuse it as not_run, with when to come back
    And both entries refuse it as outcome_unknown under a new key

    Examples:
      | repeat          |
      | run once only   |
      | be repeated     |

  Scenario: most engines of a service have ended
    Guards against callers that are sent to agents whose engines are down, while
    another engine is idle.
    Given a deployment of 1 entry and 4 targets
    And 3 engines have ended
    When 20 generations are asked for one after another, each 3 times at most
    Then all of them are answered whole
