Feature: Memory that was freed goes back to the system

  Scenario: long blocks between short ones that live on
    Guards against a process that holds the memory of its busiest moment, so
    that the next long body takes it over its limit.
    Given a process that returns long blocks
    When it frees long blocks that lie between short ones
    Then it holds no more than 4 MiB of them
