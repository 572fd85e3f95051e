Feature: A configuration that an instance has missed
  An instance learns from the others that it lacks a configuration, whatever became of its reads.

  # Guards against requests that are handled by an old configuration for as long as reads fail.
  Scenario: An instance that lacks a configuration takes it from one that has it
    Given an instance with configuration 4 whose reads of the store hang
    When a heartbeat names configuration 7, which the other instance sends
    And 2500 ms pass for it
    Then its configuration is 7, and it handles requests

  Scenario: An instance that cannot get the newer configuration handles no requests by the old one
    Given an instance with configuration 4 whose reads of the store hang
    When a heartbeat names configuration 7, which no instance sends
    And 600 ms pass for it
    Then its configuration is 4, and it handles requests
    When 200 ms pass for it
    Then its configuration is 4, and it handles no requests

  # Guards against an instance that counts as behind only since the newest version.
  Scenario: Newer versions do not make an instance count as current
    Given an instance with configuration 4 whose reads of the store hang
    When a heartbeat names configuration 7, which no instance sends
    And 400 ms pass for it
    And a heartbeat names configuration 9, which no instance sends
    And 400 ms pass for it
    Then its configuration is 4, and it handles no requests

  # Guards against instances that refuse everything while the store is away.
  Scenario Outline: With an old configuration that is not confirmed, an instance handles <outcome>
    Given an instance with configuration 4 whose reads of the store hang
    When it handles what arrives <delay> ms late
    And <heartbeats> s of heartbeats name configuration 4, and then none for <silent> s
    Then its configuration is 4, and it handles <outcome>

    Examples:
      | delay | heartbeats | silent | outcome     |
      | 0     | 2          | 20     | requests    |
      | 400   | 20         | 0      | requests    |
      | 400   | 2          | 6      | no requests |
      | 400   | 0          | 20     | requests    |

  # Guards against reads without a pause, and no rows, at an instance that starts without the store.
  Scenario: An instance that starts while the store turns it away takes its rows from another one
    Given an instance that starts while the store refuses its reads
    When a heartbeat names configuration 7, which the other instance sends
    And 4000 ms pass for it
    Then its configuration is 7, and it handles requests
    And it made at most 20 reads of a table

  # Guards against rows that count as fresh although they waited in a busy process.
  Scenario Outline: The age of rows counts the time that their answer waited in this process
    When a process that is <delay> ms late handles an answer to a call of 4000 ms before
    Then its rows are <age> ms old, and it answers others with <answered> ms

    Examples:
      | delay | age  | answered |
      | 0     | 250  | 250      |
      | 1000  | 1250 | 2250     |
      | 9000  | 4000 | 13000    |

  # Guards against a process that takes its rows for fresh after its machine was suspended.
  Scenario: A suspended machine counts as late, although its monotonic clock stood still
    Given a process whose loop delay is measured
    When 1000 ms pass on both clocks
    Then its recent delay is 0 ms
    When the time of day jumps by 5000 ms
    Then its recent delay is 5000 ms
    When 4000 ms pass on both clocks
    Then its recent delay is 0 ms
