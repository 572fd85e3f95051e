Feature: Request forwarding decisions of a daemon

  Scenario: The longest prefix of the host selects the route
    Given routes for "a.example" with prefixes "/x/", "/x/y/" and "/z/"
    Then "/x/y/1?q=/z/" of host "A.example:80" goes to the route with prefix "/x/y/"
    And "/x/1" of host "a.example" goes to the route with prefix "/x/"
    And "/y/1" of host "a.example" has no route

  Scenario: An older configuration never replaces a newer one
    When the configurations 7, 5 and 9 arrive
    Then version 9 is in force after 2 changes

  Scenario: A draining upstream immediately gets no new requests
    Given the upstreams "u1" and "u2" of service "s"
    When "u1" reports that it is draining
    Then service "s" is served by "u2"

  Scenario: Upstreams whose entries expired during a store outage stay in use for two seconds
    Given the upstreams "u1" and "u2" of service "s"
    When the entries of "u1" and "u2" expire after a store outage
    Then service "s" is served by "u1,u2"
    When "u2" is listed again within a second
    And two seconds pass
    Then service "s" is served by "u2"

  Scenario: Requests with a prompt prefix leave their home engine only while it is unreachable
    Given 8 engines
    When 20 requests with prefix "p" are routed
    Then all went to one engine
    When that engine becomes unreachable
    And 20 requests with prefix "p" are routed
    Then all went to another engine
    When the first engine becomes reachable again
    And 20 requests with prefix "p" are routed
    Then all went to the first engine

  # Guards against failures of an earlier process that exclude its successor.
  Scenario: An upstream that restarted with the same ID is used immediately
    Given 8 engines
    When 20 requests with prefix "p" are routed
    Then all went to one engine
    When that engine becomes unreachable
    And that engine restarts with the same ID
    And 20 requests with prefix "p" are routed
    Then all went to the first engine

  Scenario: An engine that is much slower than the others gets only probe requests
    Given 8 engines
    And all engines respond at the same speed
    When the home of prefix "p" becomes 5 times slower
    And 20 requests with prefix "p" are routed
    Then at most 1 of them went to the slow engine

  Scenario: A plain upstream that fails half of its requests is avoided
    Given 3 plain upstreams of which one in this data centre fails half of its requests
    When 100 requests are routed over 10000 ms
    Then fewer than 15 went to the failing upstream

  Scenario: All instances together stay within the retry budget
    Given 8 instances share a budget of 0.2 and 56 in 10000 ms
    When each receives 20 requests and retries continuously for 10000 ms
    Then together they made at most 88 retries

  Scenario: An exhausted budget is available again after its window
    Given 1 instances share a budget of 0 and 10 in 10000 ms
    When each receives 0 requests and retries continuously for 1000 ms
    And 11000 ms go by
    Then another retry is allowed

  Scenario: A stream is relayed in complete events wherever its bytes are split
    Then any event stream split at any points is relayed unchanged

  Scenario: A content that crashed two upstreams is refused by every instance
    Given two instances that share crash reports
    When a content crashes upstream "u1" at the first instance
    Then the second instance still accepts it
    When the content crashes upstream "u2" at the second instance
    Then both instances refuse it

  Scenario: A failure after a stage call is not reported as not run
    Then an overload refusal is answered 503 with a retry delay
    And the same error after a stage call is answered 502 without a retry delay
