Feature: What targets ask for in their answers
  A target says in its answers that it leaves, or that it wants nothing for
  some time. The platform's list may lag behind, or be out.

  Scenario: a target says in its answers that it leaves
    Guards against requests to a target that is about to end, as only the list
    of targets is asked whether it leaves.
    Given 5 entries before 4 targets
    And from 4 s on the first one says in its answers that it leaves
    When 40 requests a second come for 16 seconds
    Then no entry sends it anything from 2 s after it has passed that on
    And from 7 s on it gets nothing
    And all requests are served

  Scenario: a target turns requests away and asks for rest
    Guards against a target that gets the more requests the faster it refuses
    them, and callers that are refused beside targets that have room.
    Given 5 entries before 4 targets
    And from 4 s on the first one refuses requests and asks for 3 s of rest
    When 40 requests a second come for 20 seconds
    Then from half a second after it has asked until the end of its rest no entry sends it more than two requests
    And all requests are served
