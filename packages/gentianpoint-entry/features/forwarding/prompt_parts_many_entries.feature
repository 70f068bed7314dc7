Feature: Many entries know which part of prompts ends targets
  Each entry is connected to a few others only.

  Scenario Outline: a part ends targets in a fleet
    Guards against a part that ends further targets through the entries that
    never met it.
    Given <count> entries and 12 targets
    When streams with 1 part that ends targets come for 10 seconds beside harmless ones
    Then from 3 seconds after the fifth end on, at most 3 more with it reach a target
    And at most 5 targets have ended

    Examples:
      | count |
      | 29    |
      | 380   |
