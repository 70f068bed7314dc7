Feature: The retries of all entries together stay within a limit

  Scenario Outline: an entry's share
    Guards against a service that gets most of its load from retries. Every
    target refuses, callers come back at once, and each entry would send each
    request again.
    Given <entries> entries that may make 0.2 retries a request and 50 more
    When an entry serves <requests> requests, all of which want a retry
    Then all entries together make at most <most> retries

    Examples:
      | entries | requests | most |
      | 1       | 0        | 50   |
      | 1       | 100      | 70   |
      | 5       | 100      | 150  |
      | 24      | 10       | 98   |

  Scenario: the window slides
    Given 1 entries that may make 0.2 retries a request and 50 more
    When an entry serves 300 requests, all of which want a retry
    And 11 seconds pass
    Then retries are allowed again

  Scenario: all entries start again at once
    All hosts lose power after retries were spent. Guards against entries that
    have forgotten what they spent and divide the constant part by the few
    entries that their settings name until they have met the others: engines
    would get several times the limit while they start as well.
    Given 24 entries that may make 0.2 retries a request and 50 more
    When an entry serves 10 requests, all of which want a retry
    And it starts again and knows 3 other entries
    And an entry serves 10 requests, all of which want a retry
    Then all entries together make at most 146 retries
