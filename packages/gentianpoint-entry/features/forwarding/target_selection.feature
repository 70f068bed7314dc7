Feature: Selection of a target for a generation

  Scenario Outline: the less loaded of two engines
    Guards against an engine that is chosen although its reports, the requests
    sent to it or its failures show that it is overloaded. The generation would
    wait there, or preempt another one for lack of memory.
    Given an engine a with <a>
    And an engine b with <b>
    When 40 generations are placed without sending them
    Then all of them go to b

    Examples:
      | a                    | b              |
      | memory 0.9           | memory 0.2     |
      | memory 0.99          | waiting 8      |
      | running 9            | running 2      |
      | waiting 12           | memory 0.2     |
      | silence              | memory 0.9     |
      | a failure            | memory 0.5     |
      | another data centre  | memory 0.0     |
      | unread 7000          | memory 0.2     |
      | reported 7000        | memory 0.2     |

  Scenario: prompts that an entry has sent since the report
    Guards against an entry that sends everything to an engine whose last
    report shows it empty. Prompts sent since that report count like those in
    it; otherwise first events come seconds late.
    Given an engine a with memory 0.0
    And an engine b with memory 0.3
    When 4000 prompt tokens were sent to a since its report
    And 40 generations are placed by one of 5 entries
    Then all of them go to b

  Scenario Outline: an empty engine among others
    Guards against all entries sending everything to an engine that has just
    joined and looks empty until its next report arrives. It would process
    prompts for seconds while the others idle.
    Given an engine a with memory 0.0
    And an engine b with running 2
    And an engine c with running 2
    And an engine d with running 2
    When 40 generations are placed by reports <age> ms old while other entries place <rate> a second
    Then between <least> and <most> of them go to a

    Examples:
      | age | rate | least | most |
      | 0   | 28   | 40    | 40   |
      | 400 | 0    | 40    | 40   |
      | 100 | 2    | 40    | 40   |
      | 400 | 28   | 8     | 24   |
      | 800 | 60   | 4     | 18   |

  Scenario Outline: targets that are not selected
    Given an engine a with <a>
    And an engine b with memory 0.9
    When 40 generations are placed without sending them
    Then all of them go to b

    Examples:
      | a              |
      | notice         |
      | a leaving entry |
      | a replacement  |

  Scenario: equally loaded engines share the generations
    Reports are old when they arrive, and all entries see the same ones. If
    each entry took the first of several equals, that one would be overloaded.
    Given an engine a with memory 0.3
    And an engine b with memory 0.3
    When 40 generations are placed without sending them
    Then each engine gets some of them

  Scenario Outline: copies only where there is room
    Given an engine a with memory 0.1
    And an engine b with <b>
    When a backup is chosen for a generation at a
    Then it is <backup>

    Examples:
      | b          | backup |
      | memory 0.2 | b      |
      | memory 0.5 | none   |
      | notice     | none   |

  Scenario Outline: copies while engines are given notice
    Where engines get notice every few seconds, copies that may never be needed
    fill the memory and the links of the engines that stay, and generations
    that have to move are lost for lack of both.
    Given an engine a with memory 0.1
    And an engine b with memory 0.1
    When an engine was given notice <ago> seconds ago
    And the entry chooses a backup for a generation at a
    Then it is <backup>

    Examples:
      | ago | backup |
      | 3   | none   |
      | 11  | b      |

  Scenario Outline: a destination near by when time is short
    An engine has two seconds of notice, and a copy takes twice as long between
    data centres. With seven generations, the near engine saves more of them,
    although it is fuller; with two there is enough time. Guards against an
    engine that has just started far away and attracts all of them because it
    is empty: those that wait behind such copies would be lost.
    Given an engine a with running <running>
    And an engine near with <load>
    And an engine far with another data centre
    And a copy of a generation takes 200 ms within a data centre
    When a leaves in 1900 ms and a destination is chosen
    Then it is <destination>

    Examples:
      | running | load        | destination |
      | 7       | running 2   | near        |
      | 7       | running 9   | near        |
      | 7       | memory 0.96 | far         |
      | 2       | running 2   | far         |

  Scenario Outline: destinations of engines that leave together
    Guards against several engines, given notice at once, whose generations all
    move to the engine that looks emptiest. The copies would queue on its link
    until the notice is over, and the last ones would be lost.
    Given an engine a with notice
    And an engine b with <b>
    And an engine c with memory 0.1
    And an engine d with memory 0.3
    And an engine e with <e>
    When the entry chooses a destination for a generation at <runner>
    Then it is <destination>

    Examples:
      | b          | e          | runner | destination |
      | notice     | memory 0.5 | a      | c           |
      | notice     | memory 0.5 | b      | d           |
      | notice     | notice     | a      | c           |
      | notice     | notice     | b      | d           |
      | notice     | notice     | e      | c           |
      | memory 0.5 | memory 0.5 | a      | c           |

  Scenario: the assigned destination is full
    Given an engine a with notice
    And an engine b with notice
    And an engine c with memory 0.1
    And an engine d with memory 0.94
    When the entry chooses a destination for a generation at b
    Then it is c
