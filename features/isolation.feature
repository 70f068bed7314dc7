Feature: Every caller gets the whole answer to its own request
  Many callers share one connection between an entry and an agent, and one
  engine. Answers cross and come late; none may reach another caller, and one
  customer's generation is nobody else's business.

  Scenario: answers that cross reach their callers
  Bytes between entry and agent are late, and connections are reset now and
  then, while many answers of different lengths are on their way. A caller
  that got another's words, or part of its own, would notice at once.

    Given a relayed deployment of 1 entry and 2 targets
    When 24 callers read streams of different lengths
    And the relays delay bytes by 40 ms and reset connections twice
    Then each stream is whole and its own

  Scenario Outline: another customer's generation can't be touched
  A customer learns an identifier that is not its own and asks for it. It is
  told that there is no such generation, as for one that never was.

    Given a deployment of 1 entry and 1 target
    When a caller asks for a whole generation of 6 tokens
    And another customer sends <method> for it
    Then the other is told unknown_generation
    And the caller can still read it

    Examples:
      | method |
      | GET    |
      | DELETE |

  Scenario: another customer's prepared generation can't be started
  An identifier that was prepared for one customer is started by another. The
  agent takes it as one that it does not hold.

    Given a deployment of 1 entry and 1 target
    When a caller prepares a generation of 5 tokens
    And another customer starts it
    Then the other is told outcome_unknown
    And the engines started nothing

  Scenario: a cancelled generation ends for its reader
  A customer cancels through another entry while its stream is read. The
  reader is told so explicitly; the engine works on it no more.

    Given a deployment of 2 entries and 1 target
    When a caller reads a stream of 4000 tokens
    And after 10 tokens the customer cancels it at the last entry
    Then the stream ends with the error cancelled
    And the engines run nothing any more

  Scenario: a cancel that the generation's home does not answer
  Guards against a customer who is told that its report is not held while it
  runs on.

    Given a deployment of 1 entry and 1 target
    When a caller reads a stream of 4000 tokens
    And after 10 tokens its customer cancels it with the agents frozen
    Then the caller is told outcome_unknown
    And it is told when to come back

  Scenario: a service of other customers does not exist for a caller
  The service answers named customers only. Others are told the same as for a
  service that was never declared.

    Given a deployment of 1 entry and 1 target
    And a service for the customer another only
    When a caller asks that service
    Then the caller is told unknown_service

  Scenario Outline: keys open only their own doors
  A caller tries the administration interface with its own key, or an operator
  tries the callers' interface.

    Given a deployment of 1 entry and 1 target
    When <path> is asked with the key of <who>
    Then the caller is told unauthorized

    Examples:
      | path               | who        |
      | /admin/v1/services | a customer |
      | /admin/v1/services | nobody     |
      | /v1/models         | operators  |
      | /v1/models         | nobody     |
