Feature: A part of prompts that ends targets is kept from the others
  A part of a prompt may end each target that begins to write on it, whatever
  else the prompt holds. No two such requests are alike, and they share their
  other parts, their caller and their route with requests that are harmless.

  Scenario: requests with one part end every target that runs them
    Guards against a part that ends all targets of a service again and again,
    since each request that has it is new to every entry.
    Given 3 entries and 12 targets
    When streams with 1 part that ends targets come for 30 seconds beside harmless ones
    Then from 3 seconds after the fifth end on, at most 3 more with it reach a target
    And harmless ones begin 0.8 times as often as in calm times from 6 seconds after it on
