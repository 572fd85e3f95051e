Feature: Configuration under failures
  P5 and P7 over separate processes: an accepted configuration is in force on all daemons within
  5 s and no daemon goes back; an upstream that leaves gets no new work, retries included.

  Background:
    Given a fleet of 3 daemons with encoder 1, retriever 1, reranker 1, advice 2
    And the daemons know each other

  Scenario: Two operators race on one version through two daemons (P7: one change wins, on all daemons)
    When amal sends change "change-amal" on version 1 to daemon 1
    And badr sends change "change-badr" on version 1 to daemon 2
    Then the operators are answered "accepted 2; stale-base-version" in any order
    And within 5000 ms daemons 1, 2, 3 hold version 2

  Scenario: The table fails while operators race (P7, P8: requests go on, and asking again tells the truth)
    Given a load of 4 callers that follow readiness
    And the process of the table has down set to 1
    When amal sends change "change-amal" on version 1 to daemon 1
    And badr sends change "change-badr" on version 1 to daemon 2
    Then the operators are answered "table-uncertain; table-uncertain" in any order
    When the fleet runs for 6000 ms
    Then no request of at least 20 was cut or refused
    And within 100 ms daemons 1, 2, 3 hold version 1
    When the process of the table has down set to 0
    And amal sends change "change-amal" on version 1 to daemon 3
    And the operators have their answers
    And badr sends change "change-badr" on version 1 to daemon 3
    Then the operators are answered "accepted 2; stale-base-version; table-uncertain; table-uncertain" in any order
    And within 5000 ms daemons 1, 2, 3 hold version 2

  Scenario: The answer of the accepting transaction is lost (P7: the operator is told the truth)
    Given the process of the table has loseAnswers set to 1
    When amal sends change "change-amal" on version 1 to daemon 1
    Then the operators are answered "accepted 2" in any order
    And within 5000 ms daemons 1, 2, 3 hold version 2

  Scenario: A daemon is replaced during a change (P7: it holds the newest version before it is ready)
    Given daemon 3 is killed
    When amal sends change "change-amal" on version 1 to daemon 1
    And the operators have their answers
    And daemon 3 is started again
    Then daemon 3 holds version 2 when it is first ready
    And within 5000 ms daemons 1, 2, 3 hold version 2

  Scenario: A daemon is frozen during two changes (P7: it adopts them after it wakes and never goes back)
    Given daemon 3 is frozen
    When amal sends change "change-1" on version 1 to daemon 1
    And the operators have their answers
    And the fleet runs for 5500 ms
    And amal sends change "change-2" on version 2 to daemon 1
    And the operators have their answers
    And daemon 3 is woken
    Then within 5000 ms daemons 1, 2, 3 hold version 3
    When the fleet runs for 2000 ms
    Then within 100 ms daemons 1, 2, 3 hold version 3

  Scenario: An upstream leaves while the other one breaks streams (P5: retries do not go to it)
    Given a load of 6 callers that follow readiness
    And the process of advice-2 has breakAfter set to 6
    And the fleet runs for 1000 ms
    When upstream advice-1 is marked leaving through daemon 1
    And the fleet runs for 5000 ms
    And the requests that advice-1 has received are counted
    And the fleet runs for 2000 ms
    Then advice-1 has received no further request
