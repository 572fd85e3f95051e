Feature: Callers' API in a fleet
  Peers, ledger and daemons run in separate processes.

  Background:
    Given a fleet of 2 daemons with encoder 1, retriever 1, reranker 1, advice 1, booking 1

  Scenario: An answer is resumed and a booking is resent through another daemon
    Then an answer of daemon 1 is resumed through daemon 2 after event 3
    And a booking of daemon 1 that is resent to daemon 2 gets the same events

  Scenario: A request of a daemon that is gone can't be read
    Then an answer of daemon 1 gets "peer-unavailable" from daemon 2 after its daemon was killed
