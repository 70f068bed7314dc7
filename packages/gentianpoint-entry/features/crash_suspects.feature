Feature: Under which requests targets ended
  Entries learn of ends in any order, more than once, and from each other.

  Scenario Outline: how long a request is refused
    Guards against refusing a request for ever after the cause is gone, as well
    as against one that ends a target every few minutes.
    Given <count> targets ended while they ran a request
    Then it is refused for <minutes> minutes after the last end

    Examples:
      | count | minutes |
      | 2     | 0       |
      | 3     | 10      |
      | 4     | 20      |
      | 5     | 40      |
      | 40    | 1280    |

  Scenario Outline: an answer clears a request
    Guards against refusing a request that targets answer, because it was there
    as they were killed.
    Given a request that is answered <when>
    Then it is <outcome>

    Examples:
      | when                                     | outcome     |
      | after the third end                      | not refused |
      | half a minute before the first end       | not refused |
      | two minutes before the first end         | refused     |
      | between the second and the third end     | not refused |
      | at another entry, after the third end    | not refused |
      | at another entry, half a minute before the first end | not refused |

  Scenario: news of other entries arrive in any order
    Guards against entries that disagree on a request for good, since one heard
    of an answer before it heard of the ends.
    Then in whichever order news arrive, and however often, the same requests are refused

  Scenario: many targets end with all that they ran
    Guards against memory that grows with each end, and against forgetting a
    request that ends targets because of those that ran beside it.
    Given 3 targets ended while they ran a request
    When 3000 others have each run at one target that ended
    Then at most 1024 ends are remembered
    And the request is still refused

  Scenario Outline: news that are not kept
    Guards against an entry of another release that fills the memory of all.
    When another entry tells of <news>
    Then no end is remembered

    Examples:
      | news                           |
      | a content of 1000 characters   |
      | a target of 1000 characters    |
      | an end two days ago            |
