Feature: Agents answer what the present state of their engine is

  Scenario: entries ask at the same moment
    Guards against an engine that is polled for each of many requests.
    Given an agent whose engine runs 3 requests
    When 20 entries ask it at the same moment
    Then 20 answers say that 3 requests run
    And the engine was polled at most 3 times for them

  Scenario: an engine that has changed since the last poll
    Guards against an answer that is as old as the reports.
    Given an agent whose engine runs 3 requests
    When the engine runs 8 requests, and an entry asks 20 ms later
    Then 1 answers say that 8 requests run

  Scenario: an engine that has not answered yet
    Given an agent whose engine does not answer
    When 1 entries ask it at the same moment
    Then 0 answers say that 0 requests run

  Scenario: which start of the engine answers
    Guards against an agent that names an engine which has ended, so that
    entries leave out the one that is there.
    Given an agent whose engine runs 3 requests
    When 1 entries ask it at the same moment
    Then 1 answers say that 3 requests run
    And the answers name engine-1
    When another start of the engine has its address
    Then 1 answers say that 3 requests run
    And the answers name nothing

  Scenario: any datagram may arrive
    Guards against a datagram from elsewhere that ends the agent.
    Given an agent whose engine runs 3 requests
    When 300 random datagrams arrive
    And 1 entries ask it at the same moment
    Then 1 answers say that 3 requests run

  Scenario: where a stream began
    Guards against streams that are refused after an end of all entries, and
    against records that another customer's caller, or nobody, has told.
    Given an agent whose engine runs 3 requests
    When an entry tells it that stream s-1 began at version v1
    And an entry asks it for the streams s-1 and s-2
    Then it knows that s-1 began at v1, and nothing of s-2

  Scenario: two entries tell it different things of one stream
    Guards against a stream that goes on at one of two versions by chance.
    Given an agent whose engine runs 3 requests
    When an entry tells it that stream s-1 began at version v1
    And an entry tells it that stream s-1 began at version v2
    And an entry asks it for the streams s-1 and s-2
    Then it knows no version of s-1
