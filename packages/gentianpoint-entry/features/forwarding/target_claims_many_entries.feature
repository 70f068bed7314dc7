Feature: Many entries agree on who tries a refused request
  Each entry is connected to a few others only.

  Scenario: many callers send a request that ends targets to a large fleet
    Guards against entries that let such a request run once each, to see
    whether it is harmless by now.
    Given 380 entries and 12 targets
    When 24 callers send a repeatable plain call that ends each target for 20 seconds
    Then from 3 seconds after the third end on, at most 3 more reach a target
