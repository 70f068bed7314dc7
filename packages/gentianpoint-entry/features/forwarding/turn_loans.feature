Feature: Turns are borrowed by an entry that is short of processor time
  A host with a quota of processor time stands still for most of each tenth of
  a second while most callers come to its entry.

  Scenario Outline: turns are lent while the process stands still
    Guards against a request that is refused although its turns are here.
    Given an entry that lacks turns at a target
    When it stands still for <still> ms, and is lent the turns meanwhile
    Then the request has turns

    Examples:
      | still |
      | 0     |
      | 60    |
      | 90    |
      | 400   |

  Scenario: nobody lends turns
    Guards against a request that waits for answers that do not come.
    Given an entry that lacks turns at a target
    When it stands still for 90 ms, and is lent nothing
    Then the request has no turns 200 ms after it came
