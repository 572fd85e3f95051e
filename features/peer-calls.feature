Feature: Calls between daemons
  Daemons call each other by JSON-RPC; a faulty peer costs at most itself.

  Background:
    Given an instance that serves peers

  Scenario: The error of the other side keeps its meaning
    When a peer calls a method that refuses
    Then the call fails as "lease-lost" with outcome "may-have-run" and retry after 1234 ms

  Scenario: A wrong secret is refused
    When a peer with another secret calls
    Then the call fails as "peer-unavailable"

  Scenario Outline: Faulty input does not disturb other peers
    When a connection sends <input> to the peer port
    Then the connection is closed within 2000 ms
    And a peer's call is answered

    Examples:
      | input                  |
      | garbage                |
      | a body above the limit |
      | an endless body        |
      | an endless header      |
      | a batch                |
      | half a request         |

  Scenario: One peer cannot take all places
    When a peer starts 40 calls that do not end
    Then 8 of its calls fail as "overloaded"
    And another peer's call is answered

  Scenario: An endless answer is cut off
    When a peer calls an address that answers without end
    Then the call fails as "peer-unavailable"

  Scenario: Connections that went silent are replaced
    Given a peer with open connections through a relay
    When the relay stops forwarding on its open connections
    Then the peer's call is answered within 2000 ms
    And its next call is answered within 200 ms
