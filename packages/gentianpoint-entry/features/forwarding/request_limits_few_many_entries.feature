Feature: Limits that targets name, and few requests before a large fleet
  Each entry has a turn at a target once in many seconds.

  Scenario: few requests before a large fleet
    Guards against turns that pass unused, as entries that have them have no
    request, and requests that are refused, as their entries have none.
    Given 380 entries before 3 targets
    And from 2 s on all of them name a limit of 20
    When 40 requests a second come for 20 seconds
    Then from 6 s on at least three quarters of all requests are served
    And from 3 s after that on no target gets more in any 4 s than it may
