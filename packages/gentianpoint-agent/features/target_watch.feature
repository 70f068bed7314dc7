Feature: The end of a target, as its agent finds it

  Scenario Outline: what a target's address does
    Guards against taking a connection that was cut for the end of a target.
    Given a target whose address <does>
    When a run at it breaks off
    Then its end is <found>

    Examples:
      | does                | found     |
      | refuses connections | found     |
      | takes connections   | not found |
      | resets connections  | not found |

  Scenario: runs that break off with one end
    Guards against one end of a target that counts several times for a request
    that is sent often.
    Given a target that ends, and ends again 10 seconds later
    When 3 runs break off each time
    Then they name 2 ends
