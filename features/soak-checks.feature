Feature: Checks of the soak
  The soak compares what callers and upstreams saw with the promises.

  # Guards against checks that pass whatever happened.
  Scenario Outline: A broken promise is found
    Given a request of kind "<kind>" that was answered well and ran once
    Then the checks find nothing
    When <fault>
    Then the checks find '<finding>'

    Examples:
      | kind             | fault                                         | finding                                   |
      | once             | it runs a second time                         | ran 2 times                               |
      | once             | it was answered 503                           | was answered 503 and ran                  |
      | plain            | it was answered 401                           | was answered 401 with a valid key         |
      | plain            | its answer names another request              | got another answer                        |
      | plain            | its answer is not signed                      | unsigned                                  |
      | plain            | its answer is incomplete and ends as complete | got "answer"                              |
      | stream/resumable | an event is missing                           | ended as complete with the events 1,2,4,5 |
      | stream/resumable | it was resumed and went on at another version | holds events of 2 software versions       |
      | plain            | 20 of 40 requests were refused at a daemon without upstreams, and none at the other one | requests served at isolated daemons |
      | plain            | another request runs                          | ran and no caller sent it                 |
      | plain            | it runs with another body                     | ran with another method, path or body     |
      | plain            | it runs with its key                          | ran with the key or for another team      |
      | plain            | its key was removed 3 s before                | ran with a key that was removed           |
      | plain            | its upstream had left 3 s before              | too late at u1                            |
      | plain            | its upstream gets 12 such requests in 3 s from 4 s after it states a limit of 1 | got 12 requests in 4 s |

  Scenario: Requests within a stated limit are no finding
    Given a request of kind "plain" that was answered well and ran once
    When its upstream gets 11 such requests in 3 s from 4 s after it states a limit of 1
    Then the checks find nothing

  Scenario: Few requests that fail at a daemon without upstreams are no finding
    Given a request of kind "plain" that was answered well and ran once
    When 10 of 40 requests were refused at a daemon without upstreams, and none at the other one
    Then the checks find nothing

  Scenario: The bounds do not hold for a daemon that was disturbed
    Given a request of kind "plain" that was answered well and ran once
    When its key was removed 3 s before
    And its daemon was disturbed a second before
    Then the checks find nothing

  Scenario: A request that is under way when its key is replaced may be refused
    Given a request of kind "plain" that was answered well and ran once
    When it was answered 401
    And its key was replaced while it was under way
    Then the checks find nothing

  Scenario: A key that is replaced after the answer excuses no refusal
    Given a request of kind "plain" that was answered well and ran once
    When it was answered 401
    And its key was replaced after its answer
    Then the checks find "was answered 401 with a valid key"
