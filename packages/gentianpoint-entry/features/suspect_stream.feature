Feature: Entries share the ends of targets through the log
  An agent tells the entry whose call broke off that its target has ended.

  Scenario Outline: a request ends targets at one entry after another
    Guards against entries that each let a request end as many targets as all
    of them together may.
    Given <count> entries that follow one log
    When a request ends 3 targets, each at another entry
    Then all entries refuse it within 100 ms

    Examples:
      | count |
      | 3     |
      | 380   |

  Scenario: an entry starts after targets have ended
    Given 3 entries that follow one log
    When a request ends 3 targets, each at another entry
    And all entries stop, and others start
    Then all entries refuse it within 100 ms

  Scenario: the log is out as targets end
    Guards against losing what an entry could not append at once.
    Given 3 entries that follow one log
    When the log is out for 20 seconds
    And a request ends 3 targets, each at another entry, meanwhile
    Then all entries refuse it 2 seconds after the log is back

  Scenario: all entries have answered a request that targets ended under
    Guards against hundreds of entries that all append the same clearance.
    Given 380 entries that follow one log
    When all entries have answered a request, and 3 targets end under it
    Then no entry refuses it 4 seconds later
    And at most 40 records were appended

  Scenario: a record that can't be read
    Guards against an entry that ends because of a record of another release.
    Given 3 entries that follow one log
    When a record that can't be read is appended
    And a request ends 3 targets, each at another entry
    Then all entries refuse it within 100 ms

  Scenario Outline: all entries get a refused request when it may be tried
    Guards against entries that let a request which ends targets run once
    each, as well as against one that is refused for ten minutes by mistake.
    Given <count> entries that follow one log
    When a request ends 3 targets, each at another entry
    And all entries get the request 12 seconds later
    Then 1 of them may try it
    And it may be tried once more only after that

    Examples:
      | count |
      | 3     |
      | 29    |
      | 380   |

  Scenario: the log is out when a refused request may be tried
    Guards against entries that each try a request which ends targets, since
    they can't hear of each other.
    Given 3 entries that follow one log
    When a request ends 3 targets, each at another entry
    And the log is out for 20 seconds
    And all entries get the request 12 seconds later
    Then 0 of them may try it

  Scenario: the clock of the entry that tries a request is behind
    Guards against entries that take a claim for an old one, and make the same
    trial once more.
    Given 3 entries that follow one log
    When a request ends 3 targets, each at another entry
    And an entry whose clock is 20 seconds behind claims a trial 12 seconds later
    And all entries get the request 0 seconds later
    Then 0 of them may try it

  Scenario: a trial is answered
    Guards against refusing a request at the entries that did not try it.
    Given 3 entries that follow one log
    When a request ends 3 targets, each at another entry
    And all entries get the request 12 seconds later
    And the entry that tries it has an answer
    Then no entry refuses it 4 seconds later
