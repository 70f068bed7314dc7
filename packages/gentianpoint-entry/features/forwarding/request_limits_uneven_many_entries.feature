Feature: Limits that targets name, in a large fleet
  Each entry has a turn at a target once in many seconds.

  Scenario: nine in ten callers come to a few of many entries
    Guards against parts of a limit that stay with entries that have no
    requests, while others refuse theirs.
    Given 380 entries before 3 targets
    And from 2 s on all of them name a limit of 20
    And from 12 s on nine in ten callers come to 3 of the entries
    When 40 requests a second come for 24 seconds
    Then from 16 s on at least three quarters of all requests are served
    And from 3 s after that on no target gets more in any 4 s than it may
