Feature: Admission
  A pool orders waiting work by guaranteed share, tier, rank, team and deadline, and refuses work
  that it cannot serve in time.

  Background:
    Given a pool with 2 slots

  Scenario: Urgent work starts before waiting work of lower ranks
    Given 2 attempts of rank "background" of team "agdal" run
    When work "b" of rank "background" of team "agdal" waits
    And work "u" of rank "urgent" of team "agdal" waits
    And an attempt ends
    Then work "u" runs

  Scenario: A team with many waiting requests does not delay another team
    Given 2 attempts of rank "standard" of team "agdal" run
    When work "a1" of rank "standard" of team "agdal" waits
    And work "a2" of rank "standard" of team "agdal" waits
    And work "a3" of rank "standard" of team "agdal" waits
    And work "s" of rank "standard" of team "erfoud" waits
    And an attempt ends
    And an attempt ends
    Then work "s" runs

  Scenario: Work whose deadline cannot be met is refused at once without having run
    When work "late" of rank "urgent" of team "agdal" arrives with 10 ms left
    Then it is refused as "deadline-unreachable" with outcome "not-run"

  # Guards against "deadline-unreachable" from an instance that was suspended past the deadline.
  Scenario: Work whose deadline has passed is refused as "deadline-exceeded"
    When work "late" of rank "urgent" of team "agdal" arrives with -10 ms left
    Then it is refused as "deadline-exceeded" with outcome "not-run"

  Scenario: Waiting work fails when its deadline passes
    Given 2 attempts of rank "urgent" of team "agdal" run
    When work "w" of rank "urgent" of team "agdal" waits
    And the pool waits for 3000 ms
    Then work "w" failed with "deadline-exceeded"

  Scenario: Exclusive work waits until an upstream is idle and then runs there alone
    Given 1 attempt of rank "urgent" of team "agdal" runs
    When exclusive work "x" waits
    And work "n" of rank "urgent" of team "agdal" waits
    Then work "x" does not run
    When an attempt ends
    Then work "x" runs
    And work "n" does not run

  Scenario: Exclusive work starts in the order of ranks
    Given 2 attempts of rank "urgent" of team "agdal" run
    When exclusive work "low" of rank "background" waits
    And exclusive work "high" of rank "urgent" waits
    And an attempt ends
    And an attempt ends
    Then work "high" runs
    And work "low" does not run

  Scenario: A request that ends before its last stage keeps no reservation
    Given requests are admitted until one is refused
    When the admitted requests end before they reach the pool
    Then another request is admitted

  Scenario: Slow background work does not cause urgent work to be refused
    Given 20 attempts of rank "background" took 1500 ms each
    When work "u" of rank "urgent" of team "agdal" arrives with 300 ms left
    Then work "u" runs

  # Guards against refusals that never end, as nothing runs that would correct the times.
  Scenario: Times of an overload that has passed do not refuse work for ever
    Given 20 attempts of rank "urgent" took 40000 ms each
    Then a request with 2000 ms left is refused as "deadline-unreachable"
    When the pool waits for 4900 ms
    Then a request with 2000 ms left is refused as "deadline-unreachable"
    When the pool waits for 200 ms
    Then a request with 2000 ms left is admitted
