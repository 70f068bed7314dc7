Feature: Many entries know under which request targets ended
  Each entry is connected to a few others only.

  Scenario: a request ends targets in a large fleet, and an entry starts
    Guards against a request that ends further targets through the entries that
    never met it, or that were not there as the others learned of it.
    Given 380 entries and 12 targets
    When a repeatable plain call that ends each target is sent twice every 2 seconds, 2 times
    And an entry starts, and gets the request 3 seconds later
    Then it refuses the request with status 503
    And from 3 seconds after the third end on, at most 3 more reach a target
    And 3 targets have ended
