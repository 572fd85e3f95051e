Feature: Run once under failures
  P3 and P4 over separate processes: a non-idempotent request runs at most once for its key, and one
  that was told `not-run` never runs. Each scenario lists the executions of the booking service.

  Background:
    Given a fleet of 2 daemons with booking 1
    And the daemons know each other

  Scenario: A daemon is killed between claim and dispatch (P4: a claim is not taken over)
    Given the process of the table has delayMs set to 600
    When booking "k" is sent to daemon 1
    And the fleet runs for 300 ms
    And daemon 1 is killed
    And the process of the table has delayMs set to 0
    And booking "k" is sent to daemon 2
    And the callers have their answers
    And daemon 1 is started again
    And booking "k" is sent to daemon 1
    Then the bookings are answered "connection lost; in-progress may-have-run; holder-gone may-have-run"
    And "k" ran 0 times, and nothing that was told not-run ran

  Scenario: A daemon is killed during the call (P4: a resend does not run the call again)
    Given the process of booking-1 has firstMs set to 1000
    When booking "k" is sent to daemon 1
    And the fleet runs for 500 ms
    And daemon 1 is killed
    And booking "k" is sent to daemon 2
    And the callers have their answers
    And daemon 1 is started again
    And booking "k" is sent to daemon 2
    Then the bookings are answered "connection lost; in-progress may-have-run; holder-gone may-have-run"
    And "k" ran 1 time, and nothing that was told not-run ran

  Scenario: A daemon is frozen after its claim and woken within the deadline (P4: a silent holder keeps its claim)
    Given the process of the table has delayMs set to 600
    When booking "k" is sent to daemon 1
    And the fleet runs for 300 ms
    And daemon 1 is frozen
    And the process of the table has delayMs set to 0
    And booking "k" is sent to daemon 2
    And the fleet runs for 1000 ms
    And daemon 1 is woken
    And the callers have their answers
    And booking "k" is sent to daemon 2
    Then the bookings are answered "result; in-progress may-have-run; result"
    And "k" ran 1 time, and nothing that was told not-run ran

  Scenario: A daemon is frozen after its claim beyond the deadline (P3: it does not dispatch when it wakes)
    Given the process of the table has delayMs set to 600
    When booking "k" is sent to daemon 1 with deadline 1000 ms
    And the fleet runs for 300 ms
    And daemon 1 is frozen
    And the process of the table has delayMs set to 0
    And booking "k" is sent to daemon 2
    And the fleet runs for 2000 ms
    And daemon 1 is woken
    And the callers have their answers
    And booking "k" is sent to daemon 2
    Then the bookings are answered "deadline-exceeded not-run; in-progress may-have-run; result"
    And "k" ran 1 time, and nothing that was told not-run ran

  Scenario: The table loses the answer of a claim that took effect (P4, P8: the claim is read back)
    Given the process of the table has loseAnswers set to 1
    When booking "k" is sent to daemon 1
    And the callers have their answers
    And booking "k" is sent to daemon 2
    Then the bookings are answered "result; result"
    And "k" ran 1 time, and nothing that was told not-run ran

  Scenario: A claim takes effect after the caller was told not-run (P3: it is released, and the next try runs)
    Given the process of the table has effectDelayMs set to 2000
    When booking "k" is sent to daemon 1 with deadline 500 ms
    And the callers have their answers
    And the process of the table has effectDelayMs set to 0
    And the fleet runs for 2500 ms
    And booking "k" is sent to daemon 2
    Then the bookings are answered "deadline-exceeded not-run; result"
    And "k" ran 1 time, and nothing that was told not-run ran

  Scenario: A claim takes effect after its caller was told not-run and its daemon was killed (P3)
    Given the process of the table has effectDelayMs set to 3500
    When booking "k" is sent to daemon 1 with deadline 500 ms
    And the callers have their answers
    And the process of the table has effectDelayMs set to 0
    And the fleet runs for 1700 ms
    And daemon 1 is killed
    And the fleet runs for 2000 ms
    And booking "k" is sent to daemon 2
    Then the bookings are answered "deadline-exceeded not-run; result"
    And "k" ran 1 time, and nothing that was told not-run ran

  Scenario: The table is down (P8: bookings are refused at once and accepted again after it is back)
    Given the process of the table has down set to 1
    When booking "k" is sent to daemon 1
    And the callers have their answers
    And the fleet runs for 300 ms
    And booking "k" is sent to daemon 1
    And the callers have their answers
    Then the last booking was answered at once
    When the process of the table has down set to 0
    And the fleet runs for 2500 ms
    And booking "k" is sent to daemon 2
    And the callers have their answers
    And booking "k" is sent to daemon 1
    Then the bookings are answered "table-uncertain not-run; table-unavailable not-run; result; result"
    And "k" ran 1 time, and nothing that was told not-run ran

  Scenario: A resent booking meets a table that is down after the first one ran (P3: it is not told not-run)
    Given the process of booking-1 has firstMs set to 1000
    When booking "k" is sent to daemon 1
    And the fleet runs for 500 ms
    And daemon 1 is killed
    And the process of the table has down set to 1
    And booking "k" is resent to daemon 2
    And the callers have their answers
    And the fleet runs for 300 ms
    And booking "k" is resent to daemon 2
    And the fleet runs for 700 ms
    Then the bookings are answered "connection lost; table-uncertain may-have-run; table-unavailable may-have-run"
    And "k" ran 1 time, and nothing that was told not-run ran
