Feature: Requests under failures
  P1, P2 and P8 over separate processes: a caller receives each token of its own answer once and in
  order, whichever process fails in the middle of the stream.

  Background:
    Given a fleet of 2 daemons with encoder 1, retriever 1, reranker 1, advice 2
    And the daemons know each other
    And engines that stream for 1600 ms

  Scenario: A daemon is killed mid-stream (P2: the answer of the resent request is whole)
    When a caller begins a stream through daemon 1
    And the fleet runs for 800 ms
    And daemon 1 is killed
    And the stream breaks and the caller sends the request to daemon 2
    Then the answer has 8 tokens in order
    And its length and digest match

  Scenario: An upstream is killed mid-stream (P1, P2: the caller sees each token once)
    When a caller begins a stream through daemon 1
    And the fleet runs for 800 ms
    And the upstream that generates is killed
    And the caller has the answer
    Then the answer has 8 tokens in order
    And its length and digest match

  Scenario: An upstream is frozen mid-stream (P2, P8: the stream goes on elsewhere within the deadline)
    When a caller begins a stream through daemon 1
    And the fleet runs for 800 ms
    And the upstream that generates is frozen
    And the caller has the answer
    Then the answer has 8 tokens in order
    And its length and digest match

  Scenario: A caller disconnects mid-stream and resumes through another daemon (P2: no gap, no second run)
    When a caller of daemon 1 disconnects after 3 tokens
    And the caller resumes through daemon 2 after the last event it has
    Then the answer has 8 tokens in order
    And its length and digest match
    And one request was generated
