@crowds
Feature: Crowds of callers without restraint
  No process ends or hangs, each keeps within its memory, and ordinary callers get answers.

  # Guards against memory and descriptors that a crowd takes without a bound. The crowd reads no
  # answer, comes back when it is closed, and is still there at the ordinary request.
  Scenario Outline: <connections> connections with <keys> key send <what>
    Given a daemon process with a heap of 64 MiB and memory of 240 MiB
    When a crowd of <connections> connections with <keys> keys sends <what> and reads nothing
    Then the process lives, within 240 MiB and 400 descriptors, and answers an ordinary request

    Examples:
      | connections | keys | what                                 |
      | 100         | one  | whole large bodies                   |
      | 100         | many | whole large bodies                   |
      | 100         | no   | large bodies in pieces               |
      | 100         | one  | large bodies in pieces               |
      | 100         | one  | large bodies without their last byte |
      | 100         | many | large bodies without their last byte |
      | 100         | no   | many requests ahead                  |
      | 100         | one  | many requests ahead                  |
      | 100         | many | many requests ahead                  |
      | 300         | one  | heads a byte at a time               |
      | 600         | no   | nothing                              |

  Scenario Outline: <connections> connections with <keys> key leave large answers unread
    Given a daemon process with a heap of 64 MiB and memory of 240 MiB, and answers of 200000 bytes
    When a crowd of <connections> connections with <keys> keys sends <what> and reads nothing
    Then the process lives, within 240 MiB and 400 descriptors, and answers an ordinary request

    Examples:
      | connections | keys | what                 |
      | 100         | one  | many requests ahead  |
      | 100         | many | many requests ahead  |
      | 100         | one  | requests for streams |

  Scenario Outline: <connections> connections with <keys> key send <what> to the product's own daemon
    Given a daemon process of the product with a heap of 64 MiB
    When a crowd of <connections> connections with <keys> keys sends <what> and reads nothing
    Then the process lives, within 240 MiB and 400 descriptors, and answers an ordinary request

    Examples:
      | connections | keys | what                                 |
      | 100         | one  | whole large bodies                   |
      | 100         | one  | large bodies without their last byte |
      | 100         | one  | many requests ahead                  |
      | 600         | no   | nothing                              |
