Feature: A daemon on the platform
  The daemon runs with the platform's adapter before stand-ins of store and upstreams, over sockets.

  Background:
    Given a platform with the upstreams "u1" and "u2" and a daemon

  Scenario: A stream whose stage results are made first arrives whole
    When a caller asks for a stream with 2 pieces
    Then the caller gets status 200 and 5 whole events
    And the engine got the handles of both pieces and the team of the key, and no key
    And the results are released

  Scenario: A plain answer is passed on with its signature
    When a caller asks for "/plain/1"
    Then the caller gets status 200 and the body "answer to request-1"
    And the answer is signed by the upstream

  Scenario: A stream that breaks off does not look complete
    Given all upstreams are "breaks-off"
    When a caller asks for a stream with 0 pieces
    Then the caller's connection is cut

  Scenario: A resumable stream goes on at another upstream without a gap
    Given one upstream is "breaks-off"
    When 6 callers ask for resumable streams
    Then every caller got 5 whole events in order

  Scenario: An answer without a length that ends with a reset is not passed on
    Given all upstreams are "resets-unframed"
    When a caller asks for "/once/1"
    Then the caller gets status 502

  Scenario: An answer that belongs to another request is not passed on
    Given all upstreams are "answers-other"
    When a caller asks for "/once/1"
    Then the caller gets status 502

  Scenario: A request that may run once is not sent again after its connection was lost
    Given all upstreams are "loses-answers"
    When a caller asks for "/once/1"
    Then the caller gets status 502
    And one request ran

  Scenario: A request that may run once and whose time limit passes at the upstream may have run
    Given all upstreams are "mute"
    When a caller asks for "/once/1" with a deadline of 700 ms
    Then the caller gets status 504
    And one request ran

  Scenario: A request that may be repeated is tried elsewhere
    Given one upstream is "loses-answers"
    When 6 callers ask for "/plain/1"
    Then every caller got status 200

  Scenario: An upstream that hangs does not hold up a request that may be repeated
    Given one upstream is "mute"
    When 6 callers ask for "/plain/1"
    Then every caller got status 200

  Scenario: An upstream whose address another one took does not run the request
    Given the address of "u1" now belongs to "u9"
    When 6 callers ask for "/once/1"
    Then every caller got status 200
    And "u1" ran nothing

  Scenario: A refusal of all upstreams is answered as not run
    Given all upstreams are "full"
    When a caller asks for "/once/1"
    Then the caller gets status 503 and a time to come back
    And no request ran

  Scenario: An upstream that is leaving gets no new work
    When "u1" registers as leaving
    And 1500 ms pass in real time
    And 6 callers ask for "/plain/1"
    Then every caller got status 200
    And "u1" ran nothing

  Scenario: Rows that name no upstream are passed over
    When the store has entries that cannot be read
    And 1500 ms pass in real time
    And a caller asks for "/plain/1"
    Then the caller gets status 200

  Scenario: A key that was taken away is refused within two seconds
    When a configuration without the key is written
    And 2000 ms pass in real time
    And a caller asks for "/plain/1"
    Then the caller gets status 401

  Scenario: A new version arrives although the store forgot its history
    When the store is silent while a configuration without the key is written
    And the store forgets its history and answers again
    And 4000 ms pass in real time
    And a caller asks for "/plain/1"
    Then the caller gets status 401

  Scenario: Requests are served while the store is away
    When the store is busy
    And 3000 ms pass in real time
    And a caller asks for "/once/1"
    Then the caller gets status 200

  Scenario: A daemon that the store turns away learns from another one
    Given a second daemon that the store turns away once it knows the fleet
    When a configuration without the key is written
    And 4000 ms pass in real time
    And a caller asks the second daemon for "/plain/1"
    Then the caller gets status 401

  # Guards against daemons that read the store although a reader answers them.
  Scenario: Daemons that are not readers leave the store alone
    Given 4 daemons that know each other
    When 3000 ms pass in real time with reads of the store counted
    Then the store got at most 20 reads

  Scenario: A stop lets requests in progress end
    Given upstreams answer after 1500 ms
    When a caller asks for a stream with 0 pieces and the daemon stops meanwhile
    Then the caller gets status 200 and 5 whole events
    And the daemon is unready and then gone

  Scenario: A caller that leaves ends the work at the upstream
    Given upstreams answer after 3000 ms
    When a caller asks for "/plain/1" and leaves after 200 ms
    Then the daemon has no request in progress within 500 ms

  # Guards against a second copy of an answer that is taken for the answer to the next stage call.
  Scenario: A copy of an earlier answer on a kept connection is not taken for the next one
    Given one upstream is "copies-answers"
    When 12 callers ask for streams with 2 pieces, one after the other
    Then every caller got status 200
    And an upstream sent a copy of an answer
    And every engine got the handles of its own request

  # Guards against stage work that fails because an upstream dropped a connection while it was idle.
  Scenario: A kept connection that the upstream dropped costs no stage call
    Given all upstreams are "drops-kept"
    When 8 callers ask for streams with 2 pieces, one after the other
    Then every caller got status 200
    And no caller waited longer than 400 ms

  # Guards against answers without end, which would take memory until the caller's deadline.
  Scenario Outline: An answer without end is given up
    Given all upstreams are "<mode>"
    When a caller asks for "<path>", with the memory watched
    Then the answer is given up within 2000 ms
    And the memory grew by less than 100 MB

    Examples:
      | mode         | path             |
      | endless-head | /once/1          |
      | endless-body | /once/1          |
      | endless-body | /stream/staged/1 |

  # Guards against a stalled stream that is kept for the bytes that it sends now and then.
  Scenario: A stream that sends bytes but no events is resumed elsewhere
    Given one upstream is "trickles"
    When 6 callers ask for resumable streams
    Then every caller got 5 whole events in order
