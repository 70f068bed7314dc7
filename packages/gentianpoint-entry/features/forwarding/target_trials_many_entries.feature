Feature: One of many entries tries a refused request
  Each entry is connected to a few others only.

  Scenario: a request is there as silent targets are killed in a large fleet
    Guards against refusing a kind of request for ten minutes at all entries,
    although it never ended a target.
    Given 380 entries and 3 targets behind fronts that go on listening
    When 24 callers send the same repeatable plain call, and silent targets are killed 3 times, 5 seconds apart
    Then from 12 seconds after the last kill on, 0.8 of the requests are served

  Scenario: many callers send a request that ends targets to a large fleet
    Guards against entries that let such a request run once each, to see
    whether it is harmless by now.
    Given 380 entries and 12 targets
    When 24 callers send a repeatable plain call that ends each target for 20 seconds
    Then from 3 seconds after the third end on, at most 3 more reach a target
