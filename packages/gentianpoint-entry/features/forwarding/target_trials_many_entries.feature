Feature: One of many entries tries a refused request
  Each entry is connected to a few others only.

  Scenario: a request is there as silent targets are killed in a large fleet
    Guards against refusing a kind of request for ten minutes at all entries,
    although it never ended a target.
    Given 380 entries and 3 targets behind fronts that go on listening
    When 24 callers send the same repeatable plain call, and silent targets are killed 3 times, 5 seconds apart
    Then from 12 seconds after the last kill on, 0.8 of the requests are served
