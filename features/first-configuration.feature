Feature: First configuration
  A new deployment has an empty table; without a way to store version 1 no daemon would ever serve.

  Scenario: The first configuration is applied on version 0 and served by every daemon
    Given an unconfigured fleet of 2 daemons with encoder 1, retriever 1, reranker 1, advice 1
    When team "seamstresses" posts "which kaftan fits" to "advice" as "fitting" through daemon 2
    Then the problem is "not-ready" with outcome "not-run"
    When the operator applies the sample document on version 0 through daemon 1
    Then the client ended with 0
    When team "seamstresses" posts "which kaftan fits" to "advice" as "fitting" through daemon 2
    Then the answer has 8 tokens in order
    When the operator applies the sample document on version 0 through daemon 2
    Then the client ended with 5
