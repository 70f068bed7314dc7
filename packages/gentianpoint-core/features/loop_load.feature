Feature: How busy a scheduler is
  A process without time to spare is told from one whose tasks merely run late
  by the time in which its scheduler waits for input.

  Scenario Outline: a scheduler with work for a part of the time
    Guards against a busy process that counts as idle, and the other way round.
    Given a scheduler that is idle
    When it works for <work> ms and waits for <wait> ms, again and again for 3 s
    Then it counts as busy for <share> of the time

    Examples:
      | work | wait | share |
      | 0    | 100  | 0.0   |
      | 5    | 15   | 0.25  |
      | 90   | 10   | 0.9   |
      | 100  | 0    | 1.0   |
      | 2000 | 0    | 1.0   |

  Scenario Outline: a scheduler whose work changes
    Guards against a short burst that counts as saturation, and against a
    process that counts as busy long after its work has ended.
    Given a scheduler that is <before>
    When it is <then> for <ms> ms
    Then it counts as busy for <bound> of the time

    Examples:
      | before | then | ms   | bound         |
      | idle   | busy | 300  | less than 0.6 |
      | idle   | busy | 2000 | over 0.95     |
      | busy   | idle | 300  | less than 0.6 |
      | busy   | idle | 1500 | less than 0.1 |
