Feature: Submitting stages to their owners
  Each stage of a request is submitted to the instance that owns the pool of its service and shard.

  # Guards against the outcome not-run when an owner that did not answer may have run a stage.
  Scenario: A refusal after another owner did not answer reports that the request may have run
    Given an owner that does not answer and no room on this instance
    When a stage is submitted
    Then it is refused with outcome "may-have-run"

  Scenario: A refusal by the owner reports that nothing ran
    Given no other instance and no room on this instance
    When a stage is submitted
    Then it is refused with outcome "not-run"

  # Guards against shards that together admit twice the work that the later service can do.
  Scenario: Each shard of the first service admits its share of the work of a later service
    Given 16 upstreams of a first and 8 of a later service
    When requests of one shard arrive until one is refused
    Then about half as many were admitted as with 8 upstreams of the first service

  # Guards against two owners that fill calls for the same upstreams during a rolling restart.
  Scenario: An instance that has just started does not become an owner
    Given 8 instances of which "late" started last
    Then "late" owns none of 100 services

  # Guards against small owners after a rolling restart of all large instances.
  Scenario: An instance that started late becomes an owner after a while
    Given 8 instances of which "late" started last
    Then "late" owns none of 100 services
    When the instances run for 11 s
    Then "late" owns some of 100 services

  Scenario: An owner that accepted a stage stays the owner while it can be reached
    Given 8 instances of which "late" started last
    Then an owner that accepted a stage before comes first, unless it did not answer

  # Guards against an owner that must accept connections of the whole fleet at the first requests.
  Scenario: Connections to the owners are opened before there are requests
    Given 8 instances of which "late" started last
    When the instance runs for 8 s without requests before 2 services
    Then it has opened a connection to each owner that is not itself

  # Guards against owners chosen without known sizes right after a restart of the whole fleet.
  Scenario: The store lists the size of each instance
    Given an instance with 1.35 cores that has registered itself in the store
    And a row of an instance that does not state its size
    When another instance lists the instances of the store
    Then they have 1.35 and 0 cores

  # Guards against work that stays queued at an instance that is about to stop.
  Scenario: An instance that is about to stop hands over its waiting submissions
    Given 2 upstreams of a service and an instance with 3 submissions that wait
    When the instance is about to stop
    Then the 3 submissions are reported as moved
    And a further submission of another instance is declined

  # Guards against owners that cannot keep up with the submissions of a large fleet.
  Scenario: The instances with the most processor cores own the stage calls of a mixed fleet
    Given 10 instances with 1.35 cores and 77 with 0.324, all just started
    Then only instances with 1.35 cores own any of 100 services, and each of them owns some

  # Guards against one owner with three pools while other instances have none.
  Scenario: Each pool of stage calls has a separate owner if there are enough instances
    When 6 pools are assigned to 10 instances of the same size
    Then 6 instances own one pool each

  Scenario: A single large instance does not own everything
    Given 1 instances with 1.35 cores and 7 with 0.324, all just started
    Then 4 instances own 100 services, and the large one owns most

  # Guards against a change of owner whenever a slow owner misses the time limit of one call.
  Scenario: An owner whose answer was late once stays the owner
    Given 8 instances of which "late" started last
    When the owner of a service is late once
    Then it still owns the service
    When the owner of a service is late once
    Then another instance owns the service

  # Guards against memory that counts as used until its results expire, when the pool that is told
  # of a release is not the one that made them.
  Scenario: Results that one pool of a service releases make room for the others
    When an owner of two pools of a service fills the memory of its upstreams twice, with a release between
    Then all its submissions are done before results expire
