Feature: Decision log
  Each admission and routing decision is one log line with all its fields, so that the path of each
  request can be explained.

  Scenario: A request leaves one admission line and one routing line for each stage
    Given a fleet of 1 daemons with encoder 1, retriever 1, reranker 1, advice 2
    When team "seamstresses" posts "which kaftan fits" to "advice" as "fitting" through daemon 1
    Then daemon 1 logged "admit" for stages "encode"
    And daemon 1 logged "route" for stages "encode, retrieve, rerank, generate"

  Scenario: Decisions that follow each other quickly are all logged
    Given a fleet of 1 daemons with encoder 1, retriever 1, reranker 1, advice 2
    When team "seamstresses" posts 20 requests to "advice" as "fitting" through daemon 1 at once
    Then daemon 1 logged 20 "admit" and 80 "route" decisions
