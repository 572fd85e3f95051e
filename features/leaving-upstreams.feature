Feature: Upstreams that leave or ask to be left alone
  An answer may say that its upstream is leaving, and a refusal may say for how long it wants no request.

  # Guards against requests that reach an upstream after it has said that it is leaving.
  Scenario: An upstream that says it is leaving gets no further request
    Given a platform with the upstreams "u1" and "u2" and a daemon
    And "u1" says that it is leaving
    When 8 callers ask for "/plain/1" in turn
    Then all of them got status 200
    And "u1" got at most 1 request

  Scenario: What no upstream can serve any more is refused at once and as not run
    Given a platform with the upstreams "u1" and "u2" and a daemon
    And "u1" says that it is leaving
    And "u2" says that it is leaving
    When 3 callers ask for "/plain/1" in turn
    Then the last of them got status 503 within 500 ms
    And "u1" got at most 1 request
    And "u2" got at most 1 request

  # Guards against stage work that is sent to an upstream which has said that it is leaving.
  Scenario: Stage calls go to the upstreams that stay
    Given a platform with the upstreams "u1" and "u2" and a daemon
    And "u1" says that it is leaving
    When 8 callers ask for "/stream/staged/1" in turn
    Then all of them got status 200
    And "u1" got at most 1 stage call

  # Guards against requests within the time for which a full upstream wants none.
  Scenario: An upstream that asks to be left alone gets no request until the time has passed
    Given a platform with the upstreams "u1" and "u2" and a daemon
    And "u1" is full and asks for 1.5 s without requests
    When 8 callers ask for "/plain/1" in turn
    Then all of them got status 200
    And "u1" got at most 1 request
    When "u1" has room again and 1600 ms pass
    And "u2" is full and asks for 20 s without requests
    And 8 callers ask for "/plain/1" in turn
    Then "u1" got more requests

  Scenario: Callers are told when the first upstream takes requests again
    Given a platform with the upstreams "u1" and "u2" and a daemon
    And "u1" is full and asks for 20 s without requests
    And "u2" is full and asks for 30 s without requests
    When 2 callers ask for "/plain/1" in turn
    Then the last of them got status 503 within 500 ms
    And it was told to come back after 19 to 31 s

  Scenario Outline: A statement is never shortened, and ends with the process
    Given an upstream that has said "<first>" and then "<second>"
    Then it takes no work <before> ms later
    And it takes work <after> ms later
    And a new process of it takes work at once

    Examples:
      | first          | second           | before   | after |
      | 2 s            | 1 s              | 1900     | 2100  |
      | 1 s            | 2 s              | 1900     | 2100  |
      | 2 s            | nothing          | 1900     | 2100  |
      | nothing        | 0 s              | -1       | 0     |
      | it is leaving  | 1 s              | 86400000 | -1    |

  Scenario Outline: Times to stay away are read as seconds
    Then "<text>" asks for <ms> ms

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
