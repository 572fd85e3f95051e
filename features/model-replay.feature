Feature: Replay of the model's counterexamples
  Each scenario drives the real code along the trace that `npm run check:model` prints for one broken
  variant of a protocol, and shows that the code does not reach the violation.

  Scenario: Ledger, dispatch before confirmation: two claims are sent, and none dispatches until it is confirmed
    Given the next 2 transactions take effect after 900 ms
    When "k" is requested through c
    And "k" is requested through a
    And 850 ms pass
    Then "k" was dispatched 0 times
    When 3000 ms pass
    Then "k" was dispatched 1 time

  Scenario: Ledger, claim taken over when its holder is silent: another attempt reads the row of a frozen holder
    Given the next transaction takes effect at once and is answered after 500 ms
    When "k" is requested through b
    And 100 ms pass
    And b is frozen
    And "k" is requested through a
    And 1000 ms pass
    And b resumes
    And 1000 ms pass
    Then the callers are told "answer of b.1.1; running"
    And "k" was dispatched 1 time

  Scenario: Ledger, abandoning does not block dispatch: the claim landed and the attempt was told not-run
    Given the next transaction takes effect at once and is answered after 900 ms
    When "k" with deadline 100 ms is requested through a
    And 2000 ms pass
    Then the callers are told "deadline-exceeded not-run"
    And "k" was dispatched 0 times

  Scenario: Ledger, no tombstone: a claim that was given up lands late
    Given the next transaction takes effect after 3000 ms
    When "k" with deadline 500 ms is requested through c
    And 2500 ms pass
    Then the ledger row of "k" is "released"
    When 2000 ms pass
    Then the ledger row of "k" is "released"
    And the callers are told "deadline-exceeded not-run"

  Scenario: Configuration, base version not checked: the first proposal lands after another one
    Given instances a, b follow the configuration
    And the next transaction takes effect after 500 ms
    When amal through a and badr through b submit on version 1 at the same time
    Then the operators are told "stale-base-version: version 2 is another change by badr, change id change-2; accepted 2"
    And the head is version 2

  Scenario: Configuration, told not accepted without a tombstone: the transaction lands afterwards
    Given instances a, b follow the configuration
    And the next 2 transactions take effect after 6000 ms
    When amal submits "change-1" on version 1 through a
    And 10000 ms pass
    Then the operators are told "change-not-accepted: the change id is closed; use a new one"
    And the head is version 1

  Scenario: Configuration, lower version adopted: a snapshot arrives after a higher one
    Given instances a, b follow the configuration
    And b is cut off from peers and table
    When b is given the snapshot of version 3
    And b is given the snapshot of version 2
    Then b adopted "1, 3"

  Scenario: Configuration, change applied over a gap: a change arrives without the one before
    Given instances a, b, c follow the configuration
    And c is cut off from peers and table
    When amal submits "change-1" on version 1 through a
    And amal submits "change-2" on version 2 through a
    And c hears of "change-2"
    Then c adopted "1"
    When c is connected to peers only
    And 1000 ms pass
    Then c adopted "1, 2, 3"

  Scenario: Lease, takeover before the lease was observed to its end: the second candidate starts at once
    Given a and b are candidates for a lease of 10 s
    When b tries for 1 s
    And a tries for 8 s
    Then b holds the lease with number 1
    And a cannot send an order

  Scenario: Lease, remaining time not checked before an order: the former holder sends after a takeover
    Given a and b are candidates for a lease of 10 s
    When b tries for 1 s
    And a tries for 12 s
    Then a holds the lease with number 2
    And b cannot send an order
