Feature: Hedges
  A slow attempt of an idempotent stage gets a second attempt on another upstream, within a budget.

  Background:
    Given a stage whose attempts usually take 100 ms

  Scenario: The faster attempt wins and the slower one is cancelled
    When "search" runs while "retriever-1" takes 2000 ms
    Then it is answered after 200 ms by attempts on "retriever-1, retriever-2"
    And 0 late answers were dropped

  # Guards against the use of a late answer after the hedge has won.
  Scenario: A late answer was dropped and counted
    When "search" runs while "retriever-1" takes 2000 ms and ignores cancels
    Then it is answered after 200 ms by attempts on "retriever-1, retriever-2"
    And 1 late answer was dropped

  # Guards against tokens of two streams in one answer.
  Scenario: A stream is hedged only until its first token
    When "advice" runs while "advice-1" takes 2000 ms after its first token
    Then it is answered after 2100 ms by attempts on "advice-1"
    When "advice" runs while "advice-1" takes 2000 ms
    Then it is answered after 200 ms by attempts on "advice-1, advice-2"

  # Guards against a non-idempotent call, such as a deposit, that runs twice.
  Scenario: A call that must not be sent twice is not hedged
    When "booking" runs while "booking-1" takes 2000 ms
    Then it is answered after 2000 ms by attempts on "booking-1"

  Scenario: A hedge does not go to a leaving upstream
    When "retriever-2" leaves
    And "search" runs while "retriever-1" takes 2000 ms
    Then it is answered after 2000 ms by attempts on "retriever-1"

  # Guards against a suspect that crashes a second upstream before the first one has crashed.
  Scenario: A suspect is not hedged
    When the content of the requests is suspect
    And "search" runs while "retriever-1" takes 2000 ms
    Then it is answered after 2200 ms by attempts on "retriever-1"

  # Guards against hedges that double the load when all upstreams are slow.
  Scenario: Hedges stay within their budget
    When "search" runs 400 times while every upstream takes 300 ms
    Then the fraction of hedged attempts is below 0.06
