Feature: What callers may use of a process
  Whatever callers make a process hold is taken from one account before it is
  read.

  Scenario Outline: the size of the account
    When a process may use <memory> MiB and uses <resident> MiB at its start
    Then callers may use <total> MiB, and long bodies <large> MiB of them

    Examples:
      | memory | resident | total | large |
      | 88     | 48       | 24    | 18    |
      | 148    | 48       | 60    | 45    |
      | 60     | 48       | 9.4   | 5.4   |
      | 40     | 48       | 8     | 4     |

  Scenario: small requests beside long bodies
    Guards against small requests that wait behind long bodies.
    Given an account of 24 MiB, 18 MiB of them for long bodies
    When 10 long bodies of 4 MiB come at once, and then 50 requests of 64 KiB
    Then 4 long bodies and 50 requests are taken in at once

  Scenario: the smallest goes first
    Guards against a caller that waits behind a crowd with more bytes.
    Given an account of 24 MiB, 18 MiB of them for long bodies
    When 5 long bodies of 4 MiB come at once, and then one of 3 MiB
    And one of them ends after 200 ms
    Then the one of 3 MiB is taken in next

  Scenario: a request waits for memory for a short time
    Guards against requests that wait until their callers give up.
    Given an account of 24 MiB, 18 MiB of them for long bodies
    When 5 long bodies of 4 MiB come at once
    Then the last one is refused after 500 ms

  Scenario: answers that may be held until they are whole
    Guards against memory for what is useful and not needed, which ordinary
    requests then lack.
    Given an account of 24 MiB, 18 MiB of them for long bodies
    When as many answers of 256 KiB as may are held
    Then 48 answers are held

  Scenario: answers that can't be refused any more
    Guards against answers under way that nothing counts, beside which new
    requests are taken in.
    Given an account of 24 MiB, 18 MiB of them for long bodies
    When 400 answers of 64 KiB are under way
    And 1 long bodies of 4 MiB come at once, and then 1 requests of 64 KiB
    Then 0 long bodies and 0 requests are taken in at once
    And they are taken in once the answers have ended

  Scenario Outline: callers that send slowly
    Guards against slow callers that keep others from being served, and against
    callers that are cut off though nobody waits.
    Given an account of 24 MiB, 18 MiB of them for long bodies
    When 4 callers send bodies of 4 MiB for 5 s
    And <others> come after 3 s
    Then <ended> of the slow callers lose what they hold

    Examples:
      | others       | ended |
      | nobody       | 0     |
      | 2 of 64 KiB  | 0     |
      | 1 of 4 MiB   | 1     |
      | 2 of 4 MiB   | 2     |

  Scenario: callers that leave while they wait
    Guards against memory that stays taken for callers that have left.
    Given an account of 24 MiB, 18 MiB of them for long bodies
    When 8 long bodies of 4 MiB come at once, and all leave after 100 ms
    Then nothing is taken any more

  Scenario: connections beyond the descriptors
    Guards against a process without descriptors for targets and the log.
    Given an account for 3 connections
    When 4 connections come, of which one may be closed
    Then all are taken, and one is closed
    When another one comes, and none may be closed
    Then it is not taken

  Scenario Outline: processor time of unusual requests
    Guards against a scheduler that is held by requests that cost most.
    When 20 callers take turns of 2 ms each while the process is busy by <busy>
    Then they take <least> to <most> ms of a second

    Examples:
      | busy | least | most |
      | 0    | 250   | 320  |
      | 0.5  | 250   | 320  |
      | 0.8  | 50    | 100  |
      | 0.95 | 2     | 20   |

  Scenario Outline: a body of the longest legal length on a small machine
    Guards against parts set aside for other ports that leave too little.
    Given a process that may use <memory> MiB and uses 48 MiB at its start
    When two parts for 32 connections each are set aside
    Then a body of 4 MiB is taken in, and 20 requests of 64 KiB beside it

    Examples:
      | memory |
      | 88     |
      | 60     |
      | 40     |
