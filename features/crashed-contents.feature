Feature: Contents that crash upstreams are remembered
  What one instance learns of a content outlives restarts of instances and of upstreams.

  # Guards against updates that arrive before the part that they are for, and are lost to it.
  Scenario: A part that subscribes late gets what arrived before
    Given 3 members
    When member 1 publishes a suspicion, and 5000 ms pass
    Then a part of member 2 that subscribes now gets it once
    And a part of member 1 that subscribes now gets nothing
    When member 2 starts again, and 5000 ms pass
    Then a part of member 2 that subscribes now gets it once

  # Guards against repairs that end at an update which their receiver does not know.
  Scenario: A repair goes on after an update that its receiver does not know
    Given 2 members
    When member 2 is down
    And member 1 publishes an update of a later version
    And member 1 publishes a suspicion, and 5000 ms pass
    And member 2 starts again, and 10000 ms pass
    Then a part of member 2 that subscribes now gets it once

  # Guards against a part that is created later than the first update to it.
  Scenario: The parts that learn from updates exist before the daemon listens
    Given the parts of a daemon on the platform
    When those that must exist before it listens are created
    And all its other parts are created
    Then none of these subscribes to updates

  # Guards against a content that crashes an upstream again and again under the same ID.
  Scenario: Processes count, and not upstreams
    Given 2 instances that remember crashes
    When the content crashes process 1 of upstream "u1" at instance 1
    And the content crashes process 1 of upstream "u1" at instance 2
    Then no instance refuses it
    When the content crashes process 2 of upstream "u1" at instance 2
    Then all instances refuse it

  Scenario: Instances of an earlier version name upstreams only
    Given 2 instances that remember crashes
    When an instance of an earlier version reports a crash of upstream "u1"
    And the content crashes process 1 of upstream "u1" at instance 1
    Then no instance refuses it
    When an instance of an earlier version reports a crash of upstream "u2"
    Then all instances refuse it

  # Guards against suspicions that end with the instances that have them.
  Scenario Outline: Suspicions outlive <instances> instances that end together
    Given <instances> instances that remember crashes
    When the content crashes process 1 of upstream "u1" at instance 1
    And the content crashes process 1 of upstream "u2" at instance 2
    And all instances start again 1000 ms later
    Then all instances refuse it 1000 ms later
    And at most 4 writes were made

    Examples:
      | instances |
      | 3         |
      | 8         |
      | 62        |
      | 370       |

  Scenario: A crash between two restarts of all instances counts
    Given 3 instances that remember crashes
    When the content crashes process 1 of upstream "u1" at instance 1
    And all instances start again 1000 ms later
    And the content crashes process 1 of upstream "u2" at instance 2
    And all instances start again 1000 ms later
    Then all instances refuse it 1000 ms later

  Scenario: The instance that should write is cut off from the store
    Given 3 instances that remember crashes
    When the instance that writes loses the store
    And the content crashes process 1 of upstream "u1" at another instance
    And the content crashes process 1 of upstream "u2" at another instance
    And all instances start again 8000 ms later
    Then all instances refuse it 1000 ms later

  # Guards against suspicions that each reading of the store makes new.
  Scenario: A suspicion ends 300 s after its last crash
    Given 3 instances that remember crashes
    When the content crashes process 1 of upstream "u1" at instance 1
    And the content crashes process 1 of upstream "u2" at instance 2
    And all instances start again 200000 ms later
    Then all instances refuse it 1000 ms later
    But no instance refuses it 101000 ms later
