Feature: Many entries keep the limits that targets name
  Each entry is connected to a few others only.

  Scenario: two of three targets name limits in a large fleet
    Guards against limits that most entries have not met themselves.
    Given 380 entries before 3 targets
    And from 2 s on two of them name limits of 1.9 and 2.2
    When 20 requests a second come for 16 seconds
    Then from 3 s after that on no target gets more in any 4 s than it may
    And all requests are served
