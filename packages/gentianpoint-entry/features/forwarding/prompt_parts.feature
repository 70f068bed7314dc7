Feature: A part of prompts that ends targets is kept from the others
  A part of a prompt may end each target that begins to write on it, whatever
  else the prompt holds. No two such requests are alike, and they share their
  other parts, their caller and their route with requests that are harmless.

  Scenario: requests with one part end every target that runs them
    Guards against a part that ends all targets of a service again and again,
    since each request that has it is new to every entry.
    Given 3 entries and 12 targets
    When streams with 1 part that ends targets come for 30 seconds beside harmless ones
    Then from 3 seconds after the fifth end on, at most 3 more with it reach a target
    And harmless ones begin 0.8 times as often as in calm times from 6 seconds after it on

  Scenario Outline: several such parts
    Guards against parts that hide behind each other.
    Given 3 entries and 12 targets
    When streams with <parts> parts that end targets, <way>, come for 30 seconds beside harmless ones
    Then from 3 seconds after the fifth end of each part on, at most 3 more with it reach a target
    And harmless ones begin 0.8 times as often as in calm times in the last 10 seconds

    Examples:
      | parts | way                       |
      | 2     | one in each prompt        |
      | 2     | all in each prompt        |
      | 6     | one in each prompt        |
      | 1     | before all other parts    |

  Scenario: targets are killed each second, and no part ends them
    Guards against refusing harmless requests whose parts are rare, since
    they were there when targets were killed.
    Given 3 entries and 12 targets
    When streams without such parts come for 30 seconds, and a target is killed every second
    Then no request is refused for what ended under it

  Scenario: such a part while targets are killed as well
    Given 3 entries and 12 targets
    When streams with 1 part that ends targets come for 30 seconds, and a target is killed every second
    Then from 3 seconds after the fifth end of each part on, at most 3 more with it reach a target

  Scenario: an entry starts after targets have ended
    Guards against an entry that lets such a part end further targets, since it
    was not there as the others learned of it.
    Given 3 entries and 12 targets
    When streams with 1 part that ends targets come for 10 seconds, and an entry starts
    Then it refuses a request with that part, which is told when to come back

  Scenario: a try that was planned before the part was known
    A request waits for a target with a limit as the part becomes known.
    Guards against sending it when its turn comes.
    Given a stream that may run once, with a part that has ended 2 targets
    When the part ends a third target while the stream waits for its turn
    Then the stream is refused with status 503 and reaches no target

  Scenario: a stream that has been written on for a while
    Guards against refusing what runs well, since its target ended under another
    prompt.
    Given a stream with a part that is in no other prompt
    When its target is killed 3 seconds after its first event, 3 times
    Then the part is not blamed

  Scenario: a part is harmless again
    A new release of the targets bears it. Guards against a refusal for good.
    Given a part that has ended 3 targets
    Then prompts with it are refused for 10 minutes, and run after them
    And once one is answered, ends that come later count anew

  Scenario: the ends of a part that is blamed lapse after a day
    Guards against an error for each request that has such a part, just as its
    ends lapse.
    Given a part that has ended 3 targets
    When it is asked for in each second around the end of a day
    Then it may run each time
