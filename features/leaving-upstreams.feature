Feature: Upstreams that are leaving or temporarily decline requests
  A response may state that its upstream is leaving; a refusal may state a time without requests.

  # Guards against requests to an upstream that has announced that it is leaving.
  Scenario: An upstream that announces that it is leaving gets no further requests
    Given a platform with the upstreams "u1" and "u2" and a daemon
    And "u1" announces that it is leaving
    When 8 callers ask for "/plain/1" in turn
    Then all of them got status 200
    And "u1" got at most 1 request

  Scenario: Requests are refused immediately as not run when all upstreams are leaving
    Given a platform with the upstreams "u1" and "u2" and a daemon
    And "u1" announces that it is leaving
    And "u2" announces that it is leaving
    When 3 callers ask for "/plain/1" in turn
    Then the last of them got status 503 within 500 ms
    And "u1" got at most 1 request
    And "u2" got at most 1 request

  # Guards against stage calls to an upstream that has announced that it is leaving.
  Scenario: Stage calls go to the upstreams that are not leaving
    Given a platform with the upstreams "u1" and "u2" and a daemon
    And "u1" announces that it is leaving
    When 8 callers ask for "/stream/staged/1" in turn
    Then all of them got status 200
    And "u1" got at most 1 stage call

  # Guards against requests during the retry delay of a full upstream.
  Scenario: An upstream that states a retry delay gets no requests until it has passed
    Given a platform with the upstreams "u1" and "u2" and a daemon
    And "u1" is full and states a retry delay of 1.5 s
    When 8 callers ask for "/plain/1" in turn
    Then all of them got status 200
    And "u1" got at most 1 request
    When "u1" has free capacity again and 1600 ms pass
    And "u2" is full and states a retry delay of 20 s
    And 8 callers ask for "/plain/1" in turn
    Then "u1" got more requests

  Scenario: A refusal states when the first upstream accepts requests again
    Given a platform with the upstreams "u1" and "u2" and a daemon
    And "u1" is full and states a retry delay of 20 s
    And "u2" is full and states a retry delay of 30 s
    When 2 callers ask for "/plain/1" in turn
    Then the last of them got status 503 within 500 ms
    And its response states a retry delay of 19 to 31 s

  Scenario Outline: A stated delay is never shortened and ends with the process
    Given an upstream that has stated "<first>" and then "<second>"
    Then it takes no work <before> ms later
    And it takes work <after> ms later
    And a new process of it accepts requests immediately

    Examples:
      | first          | second           | before   | after |
      | 2 s            | 1 s              | 1900     | 2100  |
      | 1 s            | 2 s              | 1900     | 2100  |
      | 2 s            | nothing          | 1900     | 2100  |
      | nothing        | 0 s              | -1       | 0     |
      | it is leaving  | 1 s              | 86400000 | -1    |

  Scenario Outline: Retry delays are parsed as seconds
    Then "<text>" is parsed as <ms> ms

    Examples:
      | text                          | ms       |
      | 3                             | 3000     |
      | 0.25                          | 250      |
      | 0                             | 0        |
      | -5                            | 0        |
      | 1e9                           | 0        |
      | 99999999                      | 86400000 |
      | Fri, 04 Dec 2026 12:00:00 GMT | 0        |
      | 3, 5                          | 0        |
      | soon                          | 0        |
