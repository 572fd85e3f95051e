Feature: Limits of the callers' API
  Each limit has its own answer, and malformed input of any kind leaves the instance serving.

  Scenario Outline: A request beyond a limit gets its problem
    Given an instance with small limits
    When <request> is sent
    Then the raw answer is <status> with kind "<kind>"

    Examples:
      | request                  | status | kind                 |
      | a large body             | 413    | body-too-large       |
      | a large header           | 431    | headers-too-large    |
      | a slow body              | 408    | request-timeout      |
      | a slow header            | 408    | request-timeout      |
      | bytes that are not HTTP  | 400    | malformed-request    |
      | a path that is malformed | 400    | malformed-request    |
      | a deeply nested body     | 400    | malformed-request    |
      | a long idempotency key   | 400    | malformed-request    |
      | no body                  | 400    | malformed-request    |
      | a body that is not JSON  | 400    | malformed-request    |
      | a body of another type   | 400    | malformed-request    |
      | no idempotency key       | 400    | idempotency-key-missing |
      | 3 pipelined requests     | 429    | too-many-connections |

  Scenario: A connection ends after its number of requests
    Given an instance with small limits
    Then the last of 4 requests on one connection closes it

  Scenario: Connections beyond the limit are closed
    Given an instance with small limits
    Then of 12 connections 8 stay open

  Scenario: Malformed input of every kind gets a 4xx problem and the process lives
    Given 1 instances
    Then any body gets an answer below 500 and the instance is healthy
    And any header values get an answer below 500 and the instance is healthy
    And any bytes get an answer below 500 or a closed connection and the instance is healthy
