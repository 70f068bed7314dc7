Feature: A soak in which targets name limits on requests
  Entries and agents are processes of their own, and so are the targets on the
  project's own interface.

  Scenario Outline: a short soak with targets that name limits
    Guards against targets that get more from all entries together than the
    limit that their answers name.
    When a soak of 10 seconds with seed 51 is played on <interface>
    Then no promise is broken
    And targets' limits were put to the test

    Examples:
      | interface              |
      | the users' platform    |
      | the own interface      |
