Feature: Whole path
  A request passes through every stage of its pipeline, with every party in its own process.

  Background:
    Given a fleet of 2 daemons with encoder 1, retriever 1, reranker 1, advice 2, booking 1

  Scenario: A streamed answer is whole
    When team "seamstresses" posts "which kaftan fits" to "advice" as "fitting" through daemon 1
    Then the answer has 8 tokens in order
    And its length and digest match

  Scenario: An unknown credential is refused
    When team "nobody" posts "hello" to "advice" as "fitting" through daemon 2
    Then the problem is "unauthenticated" with outcome "not-run"
