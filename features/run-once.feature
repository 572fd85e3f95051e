Feature: Run once
  A pipeline with a non-idempotent stage runs at most once for an idempotency key.

  Scenario: A key is required
    Given 1 instances
    Then a booking without a key gets "idempotency-key-missing" and is not dispatched

  Scenario: A resent request gets the stored answer whole
    Given 2 instances
    Then a booking resent to instance 2 gets the events of the first and one call is made

  Scenario: A resent request joins the running one
    Given 2 instances
    Then a booking resent to instance 2 while the first runs gets its events and one call is made

  Scenario: A resent request is told when to come back if the holder can't be read
    Given 2 instances
    Then a booking resent while the holder is unreachable gets "in-progress" with a retry time

  Scenario: Another payload with the same key is refused
    Given 1 instances
    Then another booking with the same key gets "idempotency-key-reused"

  Scenario: A claim that is confirmed after the deadline is released and never dispatched
    Given 1 instances
    Then a booking whose claim takes longer than its deadline is answered "not-run" and released

  Scenario: A failure after dispatch is stored and never runs again
    Given 1 instances
    Then a booking that fails after dispatch gets "may-have-run" without a retry time, resent as well

  Scenario: A request is dispatched or abandoned, never both
    Then for any order of dispatch and abandonment the request state allows one of them

  Scenario: A resent request that is refused before the ledger was asked isn't told not-run
    Given 2 instances
    Then a booking that ran, resent to a draining instance, gets "may-have-run", a new one "not-run"

  Scenario: A resent request whose claim stands is told not-run
    Given 1 instances
    Then a booking marked as resent whose key is new and which is refused gets "not-run" and released
