Feature: Run-once ledger
  A non-idempotent request runs at most once, and one that is answered not-run never runs.

  Scenario: A resent request gets the answer of the first
    When "deposit" is requested through a
    And 1000 ms pass
    And "deposit" is requested through b
    And 1000 ms pass
    Then the callers are told "answer of a.1.1; answer of a.1.1"
    And "deposit" was dispatched 1 time

  Scenario: A resent request meets one in progress
    When "deposit" is requested through a
    And 20 ms pass
    And "deposit" is requested through b
    And 1000 ms pass
    Then the callers are told "answer of a.1.1; running"

  Scenario: A key belongs to one payload
    When "deposit" is requested through a
    And 1000 ms pass
    And "deposit" with payload "other" is requested through b
    And 1000 ms pass
    Then the callers are told "answer of a.1.1; idempotency-key-reused not-run"

  Scenario: Nothing is dispatched before the claim is confirmed
    Given the next transaction takes effect after 900 ms
    When "deposit" is requested through a
    And 850 ms pass
    Then "deposit" was dispatched 0 times

  Scenario: A claim whose answer was lost is found by reading back
    Given the answer of the next transaction is lost
    When "deposit" is requested through a
    And 1000 ms pass
    Then the callers are told "answer of a.1.1"

  Scenario: A process killed between claim and dispatch leaves a claim that is not taken over
    Given the next transaction takes effect at once and is answered after 500 ms
    When "deposit" is requested through a
    And 100 ms pass
    And a is killed
    And "deposit" is requested through b
    And 1000 ms pass
    Then the callers are told "nothing; holder-gone may-have-run"
    And "deposit" was dispatched 0 times

  Scenario: A restarted holder does not vouch for its predecessor
    When "deposit" is requested through a
    And 20 ms pass
    And a is killed
    And a is started
    And "deposit" is requested through b
    And "deposit" is requested through a
    And 1000 ms pass
    Then the callers are told "nothing; holder-gone may-have-run; holder-gone may-have-run"
    And "deposit" was dispatched 1 time

  Scenario: A holder frozen past the deadline does not dispatch when it wakes
    Given the next transaction takes effect at once and is answered after 100 ms
    When "deposit" with deadline 1000 ms is requested through a
    And 50 ms pass
    And a is frozen
    And 3000 ms pass
    And "deposit" is requested through b
    And 100 ms pass
    And a resumes
    And 2000 ms pass
    And "deposit" is requested through b
    And 1000 ms pass
    Then the callers are told "deadline-exceeded not-run; running; answer of b.2.2"
    And "deposit" was dispatched 1 time

  Scenario: The live holder attests that its attempt is abandoned
    Given the next transaction takes effect at once and is answered after 900 ms
    When "deposit" with deadline 100 ms is requested through a
    And 200 ms pass
    And "deposit" is requested through b
    And 2000 ms pass
    Then the callers are told "deadline-exceeded not-run; answer of b.2.1"
    And "deposit" was dispatched 1 time

  Scenario: A claim that lands after its request was given up does not block the next try
    Given the next 2 transactions take effect after 3000 ms
    When "deposit" with deadline 500 ms is requested through a
    And 4000 ms pass
    And a is killed
    And "deposit" is requested through b
    And 1000 ms pass
    Then the callers are told "deadline-exceeded not-run; answer of b.2.1"

  Scenario: A table that is down refuses at once and answers again after a probe
    Given the table is down
    When 3 keys are requested through a, 100 ms apart
    And "deposit" is requested through a
    Then the callers are told "table-unavailable not-run" 4 times
    And the last was told to retry after 500 to 750 ms
    And 3 transactions were sent
    When the table is up
    And 1000 ms pass
    And "deposit" is requested through a
    And 1000 ms pass
    Then "deposit" was dispatched 1 time

  Scenario: A result is stored after an outage of the table
    When "deposit" is requested through a
    And 20 ms pass
    And the table is down
    And 5000 ms pass
    And the table is up
    And 20000 ms pass
    And "deposit" is requested through b
    And 1000 ms pass
    Then the callers are told "answer of a.1.1; answer of a.1.1"

  Scenario: Claims share a transaction and one that is rejected does not fail the others
    When "k0" is requested through b
    And 1000 ms pass
    And 90 keys are requested through a, 0 ms apart
    And 1000 ms pass
    Then 90 keys were dispatched once
    And 5 transactions were sent

  Scenario: A rejected write is told apart from the others of its transaction
    When the rows "x, y" and then the rows "w, x, y, z" are put if absent
    Then the puts are "committed, committed, committed, rejected, rejected, committed"
    And 3 transactions were sent

  Scenario: Any interleaving of claims, lost answers, late effects, kills and freezes
    Then 400 random histories keep every promise
