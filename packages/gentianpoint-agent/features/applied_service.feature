Feature: An agent takes only what is newer
  Several entries tell an agent of its service, some later than others.

  Scenario Outline: what an entry tells is compared by its offset
  An entry that was paused wakes up with an old resource and an old number of
  targets. Taken, an accepted change would revert, or too many targets would
  load at a time. Targets also come and go without any change, and an agent
  that passed those over would go by a number that is hours old.

    Given an agent that was told offset 5 with 3 targets
    When an entry tells it offset <offset> with <told> targets
    Then it goes by offset <kept> and <targets> targets

    Examples:
      | offset | told | kept | targets |
      | 4      | 9    | 5    | 3       |
      | 5      | 9    | 5    | 9       |
      | 6      | 9    | 6    | 9       |
