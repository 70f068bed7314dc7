Feature: A soak finds what breaks a promise
  Entries and agents run as processes while faults come from outside, and
  promises are checked from what callers and targets saw.

  Scenario Outline: a fault that is planted
    A check that finds nothing is worth nothing, and nobody would notice. What
    callers and targets see of a broken promise is written down by hand here.
    Given what a soak without a fault has seen
    When <fault> is seen besides
    Then the only promise that is broken is "<promise>"

    Examples:
      | fault                                      | promise                              |
      | a lookup that runs twice                   | what may run once runs once          |
      | a report that goes on after event 3 in a new run | what may run once runs once    |
      | a lookup that runs after it was refused    | what is refused as not run has not run |
      | a status with the answer of another        | an answer is of its own request      |
      | a stream that lacks event 2                | a stream is whole and in order       |
      | a stream that has event 2 twice            | a stream is whole and in order       |
      | a stream that ends as complete after event 2 of 3 | a stream is whole and in order |
      | a stream with an event of another          | a stream is whole and in order       |
      | a stream of two software versions          | a stream has events of one software version |
      | 12 streams of which none goes on           | streams that are taken up go on      |
      | a version that is older than one before    | a version never goes back            |
      | a key that a version before had taken away | a version never goes back            |
      | an entry that ends by itself               | no program ends by itself            |
      | an entry with 151 MB                       | memory is bounded                    |
      | a version that is missing after 2.1 s      | a version is in force in time        |
      | a run 2.1 s after the target's notice      | a leaving target gets nothing new    |
      | a service that never comes back            | service is back                      |
      | a report cut that was sent 2 s after SIGTERM | what a leaving entry takes is not cut |
      | a report without a head that ran, sent 2 s after SIGTERM | what a leaving entry takes is not cut |
      | a report cut 6 s after SIGTERM, sent before it | what an entry has read is answered |
      | a report cut by an entry that stays        | what an entry has read is answered   |
      | a report that ran and got no answer        | what an entry has read is answered   |
      | a connection closed 1.1 s after a request  | what an entry has read is answered   |
      | tags of which none is served               | each kind of request is served       |
      | a second in which the soak stood still     | the soak itself keeps up             |
      | 100 repeats within a second                | repeats keep to their budget         |
      | a request that ends 4 more targets 3.1 s after the third | a request that ends targets is kept from others |
      | a part that ends 4 more targets 3.1 s after the fifth | a part that ends targets is kept from others |
      | a target with a limit of 2 that gets 18 in 4 s, 3.1 s after it named it | a target's limit on requests is kept |
      | a target with a limit of 2 that gets 18 in 4 s, 3.2 s after an entry started | a target's limit on requests is kept |
      | a run 2.1 s after a target said to its entry that it leaves | a target that says that it leaves gets nothing new |
      | 3 requests 0.6 s after a target asked for rest | a target gets the rest that it asks for |
      | a preferred entry that serves 14 of 20     | a preferred entry serves what all did |

  Scenario Outline: what is no broken promise
    Given what a soak without a fault has seen
    When <case> is seen besides
    Then no promise is broken

    Examples:
      | case                                              |
      | a status that runs twice                          |
      | a stream of one version beside another            |
      | 11 streams of which none goes on                  |
      | a stream that breaks off as its target ends       |
      | a stream that breaks off as its entry is killed   |
      | a report cut 7 s after SIGTERM, sent before it    |
      | a report cut at an entry paused as it was leaving |
      | a report refused 2 s after SIGTERM                |
      | a report cut at its deadline                      |
      | a connection closed 0.9 s after a request         |
      | a version that is missing after 1.9 s             |
      | a version that is missing 2.9 s after a fault     |
      | a version that is missing at an entry that started again |
      | a run 1.9 s after the target's notice             |
      | a target with a limit of 2 that gets 17 in 4 s, 3.1 s after it named it |
      | a target with a limit of 2 that gets 18 in 4 s, 1 s after it named it |
      | a target with a limit of 2 that gets 18 in 4 s, 2.9 s after an entry started |
      | a target with a limit of 2 that gets 18 in 4.2 s  |
      | a request that ends 3 more targets 3.1 s after the third |
      | a request that ends 4 more targets 2.9 s after the third |
      | a request that ends 4 more targets 3.1 s after the third, 2.9 s after its entry started |
      | a part that ends 3 more targets 3.1 s after the fifth |
      | a part that ends 4 more targets 2.9 s after the fifth |
      | a run 1.9 s after a target said to its entry that it leaves |
      | a run 2.1 s after a target said so to an earlier start of its entry |
      | a run 2.1 s after a target said so to its entry, killed meanwhile |
      | 2 requests 0.6 s after a target asked for rest |
      | 3 requests 0.4 s after a target asked for rest |
      | 3 requests 3.1 s after a target asked for rest |
      | a preferred entry that serves 15 of 20            |

  Scenario Outline: many entries are probed no more often than the soak bears
    Guards against a log and targets that are slow since probes of 60 entries
    keep the process busy that serves them: then no entry ever comes up.
    When <entries> entries are probed
    Then there are at most 40 probes in a second

    Examples:
      | entries |
      | 3       |
      | 60      |

  Scenario: a short soak
    Faults and changes come for some seconds, overlapping, to three entries,
    three engines with their agents and two plain targets. Promises with a
    time are left to longer soaks on an idle machine.
    When a soak of 10 seconds with seed 3 is played
    Then no promise is broken
    And callers were served
