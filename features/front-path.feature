Feature: A daemon on the platform
  The daemon uses the platform adapter and talks over sockets to simulated stores and upstreams.

  Background:
    Given a platform with the upstreams "u1" and "u2" and a daemon

  Scenario: A stream that needs stage results arrives complete
    When a caller asks for a stream with 2 pieces
    Then the caller gets status 200 and 5 complete events
    And the engine got the handles of both pieces and the team of the key, and no key
    And the results are released

  Scenario: A plain response is relayed with its signature
    When a caller asks for "/plain/1"
    Then the caller gets status 200 and the body "answer to request-1"
    And the response is signed by the upstream

  Scenario: A truncated stream does not look complete
    Given all upstreams are "breaks-off"
    When a caller asks for a stream with 0 pieces
    Then the caller's connection is closed early

  Scenario: A resumable stream continues at another upstream without a gap
    Given one upstream is "breaks-off"
    When 6 callers ask for resumable streams
    Then every caller got 5 complete events in order

  Scenario: A response without a length that ends with a reset is not relayed
    Given all upstreams are "resets-unframed"
    When a caller asks for "/once/1"
    Then the caller gets status 502

  Scenario: A response to another request is not relayed
    Given all upstreams are "answers-other"
    When a caller asks for "/once/1"
    Then the caller gets status 502

  Scenario: A non-idempotent request is not retried after its connection was lost
    Given all upstreams are "loses-answers"
    When a caller asks for "/once/1"
    Then the caller gets status 502
    And one request ran

  Scenario: A non-idempotent request whose deadline passes at the upstream is not refused as not run
    Given all upstreams are "mute"
    When a caller asks for "/once/1" with a deadline of 700 ms
    Then the caller gets status 504
    And one request ran

  Scenario: An idempotent request is retried at another upstream
    Given one upstream is "loses-answers"
    When 6 callers ask for "/plain/1"
    Then every caller got status 200

  Scenario: An upstream that hangs does not block an idempotent request
    Given one upstream is "mute"
    When 6 callers ask for "/plain/1"
    Then every caller got status 200

  Scenario: An upstream with the reused address of another one does not run the request
    Given the address of "u1" now belongs to "u9"
    When 6 callers ask for "/once/1"
    Then every caller got status 200
    And "u1" ran nothing

  Scenario: A request refused by all upstreams is reported as not run
    Given all upstreams are "full"
    When a caller asks for "/once/1"
    Then the caller gets status 503 and a retry delay
    And no request ran

  Scenario: A draining upstream gets no new requests
    When "u1" registers as draining
    And 1500 ms pass in real time
    And 6 callers ask for "/plain/1"
    Then every caller got status 200
    And "u1" ran nothing

  Scenario: Invalid rows of upstreams are ignored
    When the store has invalid upstream entries
    And 1500 ms pass in real time
    And a caller asks for "/plain/1"
    Then the caller gets status 200

  Scenario: A removed API key is refused within two seconds
    When a configuration without the key is written
    And 2000 ms pass in real time
    And a caller asks for "/plain/1"
    Then the caller gets status 401

  Scenario: A new configuration version arrives although the store lost its change history
    When the store does not respond while a configuration without the key is written
    And the store loses its change history and responds again
    And 4000 ms pass in real time
    And a caller asks for "/plain/1"
    Then the caller gets status 401

  Scenario: Requests are served during a store outage
    When the store is busy
    And 3000 ms pass in real time
    And a caller asks for "/once/1"
    Then the caller gets status 200

  Scenario: A daemon without access to the store gets changes from another daemon
    Given a second daemon that loses access to the store after it knows the fleet
    When a configuration without the key is written
    And 4000 ms pass in real time
    And a caller asks the second daemon for "/plain/1"
    Then the caller gets status 401

  # Guards against daemons that read the store although a reader supplies the rows.
  Scenario: Daemons that are not readers do not read the store
    Given 4 daemons that know each other
    When 3000 ms pass in real time with reads of the store counted
    Then the store got at most 20 reads

  Scenario: Requests in progress complete during a shutdown
    Given upstreams answer after 1500 ms
    When a caller asks for a stream with 0 pieces and the daemon is stopped meanwhile
    Then the caller gets status 200 and 5 complete events
    And the daemon is no longer ready

  Scenario: A request ends when its caller disconnects
    Given upstreams answer after 3000 ms
    When a caller asks for "/plain/1" and disconnects after 200 ms
    Then the daemon has no request in progress within 500 ms

  # Guards against taking a duplicate response for the response to the next stage call.
  Scenario: A duplicate response on a reused connection is not taken for the next one
    Given one upstream is "copies-answers"
    When 12 callers ask for streams with 2 pieces, one after the other
    Then every caller got status 200
    And an upstream sent a duplicate response
    And every engine got the handles of its own request

  # Guards against stage calls that fail because an upstream closed an idle connection.
  Scenario: A reused connection that the upstream closed does not fail a stage call
    Given all upstreams are "drops-kept"
    When 8 callers ask for streams with 2 pieces, one after the other
    Then every caller got status 200
    And no caller waited longer than 400 ms

  # Guards against endless responses, which would consume memory until the caller's deadline.
  Scenario Outline: An endless response is aborted
    Given all upstreams are "<mode>"
    When a caller asks for "<path>" with memory sampling
    Then the response is aborted within 2000 ms
    And the memory grew by less than 100 MB

    Examples:
      | mode         | path             |
      | endless-head | /once/1          |
      | endless-body | /once/1          |
      | endless-body | /stream/staged/1 |

  # Guards against keeping a stalled stream because it sends occasional bytes.
  Scenario: A stream that sends bytes but no events is resumed at another upstream
    Given one upstream is "trickles"
    When 6 callers ask for resumable streams
    Then every caller got 5 complete events in order
