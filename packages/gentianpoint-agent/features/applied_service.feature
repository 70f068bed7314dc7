Feature: An agent applies only newer service resources
  Several entries send an agent its service resource, some later than others.

  Scenario Outline: resources are compared by their offset
  An entry that was paused resumes with an old resource and an old number of
  targets. If the agent applied them, an accepted change would revert, or too
  many targets would load at a time. Targets also come and go without any new
  offset. An agent that ignored those changes would use a number that is hours
  old.

    Given an agent that was sent offset 5 with 3 targets
    When an entry sends it offset <offset> with <sent> targets
    Then it uses offset <kept> and <targets> targets

    Examples:
      | offset | sent | kept | targets |
      | 4      | 9    | 5    | 3       |
      | 5      | 9    | 5    | 9       |
      | 6      | 9    | 6    | 9       |
