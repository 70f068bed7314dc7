Feature: A soak in which software versions serve side by side
  Engines are replaced by others of a new version while faults come, and
  callers take up streams that break off, at other entries.

  Scenario Outline: a short soak with releases
    Guards against streams that are put together from two versions.
    When a soak of 10 seconds with seed <seed> is played on <interface>
    Then no promise is broken
    And several software versions have served

    Examples:
      | interface           | seed |
      | the users' platform | 66   |
      | the own interface   | 66   |
