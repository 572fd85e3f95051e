Feature: Membership
  Instances learn from heartbeats which others are alive; the platform's list only corrects them.

  Scenario Outline: A killed instance is suspected, then dead
    Given <count> members on an in-memory network
    When member 3 is killed
    Then within 5 s <observer> sees member 3 as "suspect" or "dead"
    And within <dead> s all see member 3 as "dead"

    Examples:
      | count | observer    | dead |
      | 8     | member 2    | 13   |
      | 40    | some member | 20   |

  Scenario Outline: A frozen instance is alive again after it resumes
    Given <count> members on an in-memory network
    When member 3 is frozen for <frozen> s
    Then within 8 s all see member 3 as "alive"
    And member 3 noticed a pause and sees all others as "alive"

    Examples:
      | count | frozen |
      | 8     | 5      |
      | 8     | 30     |
      | 40    | 30     |

  Scenario: A link between two instances is cut
    Given 8 members on an in-memory network
    When the region of member 1 is cut for 8 s
    Then within 5 s all see member 1 as "alive"

  Scenario: Half of the fleet is cut off for a minute
    Given 40 members on an in-memory network
    When the region of member 1 is cut for 60 s
    Then within 30 s all see each other as "alive"

  Scenario Outline: The platform's list is wrong
    Given 8 members on an in-memory network
    When the list <fault>
    And 30 s pass
    Then all see each other as "alive"

    Examples:
      | fault            |
      | drops member 3   |
      | is empty         |
      | is down          |

  Scenario: A stale list does not bring back an instance that left
    Given 8 members on an in-memory network
    When member 3 leaves and is killed
    And 30 s pass
    Then all see member 3 as "dead"

  Scenario: A listed instance that never answers is dead
    Given 8 members on an in-memory network
    When the list adds an instance that does not exist
    And 20 s pass
    Then all see the added instance as "dead"

  Scenario Outline: A restarted instance has a higher incarnation
    Given <count> members on an in-memory network
    When member 3 is killed and restarts with its clock <clock>
    Then within 8 s all see the new run of member 3

    Examples:
      | count | clock          |
      | 8     | right          |
      | 40    | right          |
      | 8     | an hour behind |

  Scenario: An update reaches all instances despite dead and frozen ones
    Given 40 members on an in-memory network
    When members 3, 7, 11, 15 are killed
    And member 20 is frozen and member 1 publishes an update
    Then within 14 s all running members have the update once
    When member 20 is thawed
    Then within 5 s member 20 has the update once

  Scenario: A member that received an update by repair still forwards it
    Given 40 members on an in-memory network
    When an update that is repaired at three successors of member 1 is then forwarded
    Then within 1 s all running members have the update once

  Scenario: An instance that one other cannot hear stays alive thanks to indirect probes
    Given 8 members on an in-memory network
    When no message from member 2 reaches member 3 for 30 s
    Then member 3 never considered member 2 dead

  Scenario: Reports of members that do not exist use bounded memory
    Given 8 members on an in-memory network
    When member 2 tells member 1 of 5000 other members
    Then member 1 knows 4096 members, and the running ones are among them

  Scenario: A dead instance that is no longer listed is forgotten after an hour
    Given 3 members on an in-memory network
    When the list drops member 3
    And member 3 is killed
    And 60 s pass
    Then all see member 3 as "dead"
    When 3600 s pass
    Then all see member 3 as "unknown"
