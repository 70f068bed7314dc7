Feature: Which target gets a generation

  Scenario Outline: the better of two
    Engines differ in what they have taken on, and an entry knows it by
    reports, by what it has sent, and by failures. Work that goes to the
    wrong one waits there or drives another generation out of memory.
    Given an engine a with <a>
    And an engine b with <b>
    When 40 generations are placed without sending
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
    An engine starts empty. What this entry has sent there since its report
    stands for as much as what the report tells; else all of it would go on
    there, and first events would come seconds late.
    Given an engine a with memory 0.0
    And an engine b with memory 0.3
    When 4000 prompt tokens were sent to a since its report
    And 40 generations are placed by one of 5 entries
    Then all of them go to b

  Scenario Outline: an empty engine among others
    An engine joins, and all entries see it empty until its next report gets
    around. If each sent it what it has, the engine would get all that arrives
    meanwhile, and read prompts for seconds while the others idle.
    Given an engine a with memory 0.0
    And an engine b with running 2
    And an engine c with running 2
    And an engine d with running 2
    When 40 generations are placed by reports of <age> ms while other entries place <rate> a second
    Then between <least> and <most> of them go to a

    Examples:
      | age | rate | least | most |
      | 0   | 28   | 40    | 40   |
      | 400 | 0    | 40    | 40   |
      | 100 | 2    | 40    | 40   |
      | 400 | 28   | 8     | 24   |
      | 800 | 60   | 4     | 18   |

  Scenario Outline: targets that get nothing
    Given an engine a with <a>
    And an engine b with memory 0.9
    When 40 generations are placed without sending
    Then all of them go to b

    Examples:
      | a              |
      | notice         |
      | a leaving entry |
      | a replacement  |

  Scenario: equals share
    Reports are old when they come, and all entries see the same ones. If all
    took the first of equals, they would all run to it.
    Given an engine a with memory 0.3
    And an engine b with memory 0.3
    When 40 generations are placed without sending
    Then each of them gets some

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
    Engines are taken away every few seconds. Copies that may never be needed
    would fill the memory and the links of those that are left, and the
    generations that have to move would be lost for lack of both.
    Given an engine a with memory 0.1
    And an engine b with memory 0.1
    When an engine was given notice <ago> seconds ago
    And a backup is chosen for a generation at a by the entry
    Then it is <backup>

    Examples:
      | ago | backup |
      | 3   | none   |
      | 11  | b      |

  Scenario Outline: a destination near by when time is short
    An engine has two seconds' notice and seven generations, and a copy takes
    twice as long between data centres. The near engine, though fuller, lets
    more of them go before the end; with two generations there is time. An
    engine that has just started far away is empty, and would draw them all:
    those that wait for their turn behind such copies would be lost.
    Given an engine a with running <running>
    And an engine near with <load>
    And an engine far with another data centre
    And a copy of a generation takes 200 ms near by
    When a leaves in 1900 ms and a destination is chosen
    Then it is <destination>

    Examples:
      | running | load        | destination |
      | 7       | running 2   | near        |
      | 7       | running 9   | near        |
      | 7       | memory 0.96 | far         |
      | 2       | running 2   | far         |

  Scenario Outline: destinations of engines that leave together
    Several engines get notice at once. If all moved their generations to the
    one that looks emptiest, copies would wait on its link until the end of
    the notice, and the last ones would be lost.
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

  Scenario: the own destination is full
    Given an engine a with notice
    And an engine b with notice
    And an engine c with memory 0.1
    And an engine d with memory 0.94
    When the entry chooses a destination for a generation at b
    Then it is c
