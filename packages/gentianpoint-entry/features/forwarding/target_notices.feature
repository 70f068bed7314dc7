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

  Scenario Outline: an entry that could not hear that a target leaves
    Guards against an entry that sends to it, since it was not there, or heard
    of nothing, as the target said so.
    Given 5 entries before 4 targets
    And from 4 s on the first one says in its answers that it leaves
    And one of the entries <what>
    When 40 requests a second come for 16 seconds
    Then from <from> s on it gets nothing
    And all requests are served

    Examples:
      | what                                             | from |
      | starts at 8 s, and gets all requests from 9 s on | 9    |
      | hears from no other from 3 s to 8 s              | 11   |

  Scenario: another start of a target that has left
    Guards against a target that gets nothing since the start before it left.
    Given 5 entries before 4 targets
    And from 4 s on the first one says in its answers that it leaves
    And at 8 s the first one starts again without a limit
    When 40 requests a second come for 16 seconds
    Then from 10 s on the other start gets requests
    And all requests are served

  Scenario: all targets say that they leave
    Guards against callers that wait for targets of which none is left, and
    against a service that is never asked again.
    Given 5 entries before 4 targets
    And from 4 s to 20 s all of them say in their answers that they leave
    When 20 requests a second come for 80 seconds
    Then from 7 s to 60 s each request is refused within 150 ms
    And from 70 s on all requests are served

  Scenario: a target turns requests away and asks for rest
    Guards against a target that gets the more requests the faster it refuses
    them, and callers that are refused beside targets that have room.
    Given 5 entries before 4 targets
    And from 4 s on the first one refuses requests and asks for 3 s of rest
    When 40 requests a second come for 20 seconds
    Then from half a second after it has asked until the end of its rest no entry sends it more than two requests
    And all requests are served

  Scenario: a target that refuses requests and does not ask for rest
    Guards against a target that gets the more requests the faster it refuses
    them.
    Given 5 entries before 4 targets
    And from 4 s on the first one refuses requests and asks for 0 s of rest
    When 40 requests a second come for 20 seconds
    Then from 5 s on it gets at most 6 requests a second
    And all requests are served

  Scenario: targets that refuse some requests
    Guards against requests that cross the rest that another answer asks for.
    Given 5 entries before 4 targets
    And from 4 s on all of them refuse one request in ten, and ask for 3 s of rest
    When 40 requests a second come for 24 seconds
    Then from half a second after any has asked until the end of its rest no entry sends it more than two requests

  Scenario: most callers come to one entry while a target rests
    Guards against a target whose few open requests count for more at an entry
    that has most of them.
    Given 29 entries before 4 targets
    And from 4 s on the first one refuses requests and asks for 3 s of rest
    And from 8 s on nine in ten callers come to 1 of the entries
    When 40 requests a second come for 24 seconds
    Then from half a second after it has asked until the end of its rest no entry sends it more than two requests
    And from 10 s on all requests are served

  Scenario Outline: all targets rest
    Guards against callers that wait for targets that take nothing, or come
    back before they do, and against targets that get all of them at once.
    Given <count> entries before 4 targets
    And from 4 s to 8 s all of them refuse requests and ask for 3 s of rest
    When 40 requests a second come for 24 seconds
    Then from half a second after any has asked until the end of its rest no entry sends it more than two requests
    And each refused caller of an entry that knows all to rest is told when the first is back
    And from 13 s on all requests are served
    And from 13 s on each target gets requests

    Examples:
      | count |
      | 3     |
      | 29    |
