Feature: Calls between daemons
  Daemons call each other by JSON-RPC; a faulty peer disturbs no other peer.

  Background:
    Given an instance that serves peers

  Scenario: The error of the called instance keeps its kind, outcome and retry time
    When a peer calls a method that fails
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
      | half a request         |

  Scenario Outline: Faulty messages do not disturb other peers
    When a peer's connection sends <message>
    Then the connection is closed within 2000 ms
    And a peer's call is answered

    Examples:
      | message                   |
      | text that is not JSON     |
      | an empty batch            |
      | a batch with an invalid call   |
      | a call without a method   |
      | a message above the limit |
      | a message without end     |

  Scenario: One peer cannot use up the capacity for calls
    When a peer starts 72 calls that do not end
    Then 8 of its calls fail as "overloaded"
    And another peer's call is answered

  Scenario: An endless answer is cut off
    When a peer calls an address that answers without end
    Then the call fails as "peer-unavailable"

  Scenario: Silent connections are replaced
    Given a peer with an open connection through a relay
    When the relay stops forwarding on its open connections
    Then the peer's call is answered within 2000 ms
    And its next call is answered within 200 ms

  Scenario: A slow method does not close a working connection
    Given a peer with an open connection through a relay
    When the peer calls a method that takes 1800 ms, and others meanwhile
    Then all its calls are answered on 1 connection

  Scenario: A reset connection is replaced during the call
    Given a peer with an open connection through a relay
    When the relay resets its open connections
    Then the peer's call is answered within 200 ms

  # Guards against calls that reach a peer after they have failed at their caller.
  Scenario: A call that timed out does not reach the peer later
    Given a peer whose relay forwards everything with a delay of 400 ms
    When the peer's call fails
    And the relay is fast again and the peer calls once more
    Then the instance received 1 call

  # Guards against repeated handshakes of all instances with a peer that is slow to accept them.
  Scenario: No second connection is opened to a peer that is slow to accept the first
    Given a peer whose relay forwards everything with a delay of 400 ms
    When 2 calls of the peer fail one after the other
    Then they were made on 1 connection

  Scenario: Simultaneous calls share a write
    Given a peer with an open connection through a relay
    When the peer makes 20 calls at once
    Then the relay forwarded at most 2 chunks to the instance
