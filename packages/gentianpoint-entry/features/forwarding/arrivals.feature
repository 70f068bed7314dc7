Feature: The rate at which requests arrive

  Scenario: arrivals whose rate nobody asks for
    Guards against memory that grows with each request to a service with limits
    that needs no turns of other entries.
    When 100 requests a second arrive for 60 seconds, counted over 1 second
    Then at most 101 arrivals are remembered
    And the rate is 100 a second
