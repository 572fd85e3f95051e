Feature: Bodies of callers
  A body takes memory for its bytes only, and none for a request that is refused anyway.

  # A million pieces may take longer than the 6 s of the route, which then ends the request.
  # Guards against bodies that are kept for callers whose request is refused anyway.
  Scenario Outline: A body without end in pieces of <bytes> bytes for <path> by key "<key>" is refused
    Given a platform with the upstreams "u1" and "u2" and a daemon
    When a caller with key "<key>" sends a body without end in pieces of <bytes> bytes to "<path>"
    Then it gets status <status> within <ms> ms, and its connection is closed 2000 ms later
    And the body took at most 32 MiB of memory
    And other callers are served

    Examples:
      | bytes | key   | path     | status     | ms   |
      | 1     | none  | /plain/1 | 401        | 500  |
      | 65536 | none  | /plain/1 | 401        | 500  |
      | 1     | wrong | /plain/1 | 401        | 500  |
      | 64    | key-1 | /other/1 | 404        | 500  |
      | 1     | key-1 | /plain/1 | 413 or 503 | 6500 |
      | 2     | key-1 | /plain/1 | 413 or 503 | 6500 |
      | 4     | key-1 | /once/1  | 413 or 503 | 6500 |
      | 64    | key-1 | /plain/1 | 413        | 6500 |
      | 65536 | key-1 | /plain/1 | 413        | 6500 |

  Scenario: A body that is too large is refused before it arrives
    Given a platform with the upstreams "u1" and "u2" and a daemon
    When a caller states a body of 2000000 bytes and sends none of it
    Then it gets status 413 within 500 ms, and its connection is closed 2000 ms later

  # Guards against bodies that together take all memory.
  Scenario: The body that grows is refused when bodies take too much memory together
    Given memory of 150000 bytes for all buffers
    When a body of 90000 bytes waits for its last byte
    And a body of 200000 bytes arrives beside it
    Then the second one is refused as overloaded, and may come again
    And a body of 8000 bytes is read whole
    When the first body is read whole and its request ends
    Then no memory is reserved

  # Guards against bodies that are dropped or refused because of their method or content type.
  Scenario: A body is passed on whatever the method and the content type
    Given a platform with the upstreams "u1" and "u2" and a daemon
    When a caller sends "GET /plain/1" with the content type "text" and the body "four"
    Then an upstream gets a "GET" request with the body "four"
