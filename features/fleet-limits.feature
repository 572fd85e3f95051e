Feature: The fleet keeps the limit that an upstream states
  Instances on a manual clock send to one upstream; messages between them take 5 ms.

  # Guards against shares that add up to more than the limit, or leave most of it unused.
  Scenario Outline: <instances> instances send <limit> requests per second and the most urgent first
    Given <instances> instances and an upstream that accepts <limit> requests per second
    When urgent requests for 0.3 and others for 2.7 times the limit arrive for <seconds> s
    Then no 4 s have more requests than <limit> per second and one
    And at least 0.9 of the limit is used from 10 s on
    And at least 0.95 of the urgent requests reach the upstream

    Examples:
      | instances | limit | seconds |
      | 8         | 0.2   | 150     |
      | 8         | 1     | 60      |
      | 8         | 10    | 30      |
      | 8         | 100   | 20      |
      | 62        | 0.2   | 150     |
      | 62        | 1     | 60      |
      | 62        | 10    | 30      |
      | 62        | 100   | 20      |
      | 195       | 0.2   | 150     |
      | 195       | 1     | 60      |
      | 195       | 10    | 30      |
      | 195       | 100   | 20      |
      | 370       | 0.2   | 150     |
      | 370       | 1     | 60      |
      | 370       | 10    | 30      |
      | 370       | 100   | 20      |

  # Guards against an upstream in need that each instance must ask before it knows.
  Scenario: All instances learn of a limit from one response
    Given 370 instances and an upstream that accepts 1 request per second
    When 1 instance sends a request
    Then all instances know the limit within 300 ms
    And at most 1.5 messages per instance were sent

  # Guards against two instances that each grant the whole limit.
  Scenario Outline: <event> does not raise the limit
    Given 8 instances and an upstream that accepts <limit> requests per second
    When requests for 3 times the limit arrive for 30 s
    And after 10 s <event>
    Then no 4 s have more requests than <bound>
    And the upstream gets requests again within 8 s

    Examples:
      | limit | event                                            | bound                            |
      | 1     | the owner of the limit restarts                  | 1 per second and one             |
      | 100   | the owner of the limit restarts                  | 100 per second and one           |
      | 1     | the owner of the limit stops                     | 1 per second and one             |
      | 100   | the owner of the limit stops                     | 100 per second and one           |
      | 1     | the owner of the limit ends and is found missing | 1 per second and one             |
      | 100   | the owner of the limit ends and is found missing | 100 per second and one           |
      | 1     | the owner of the limit freezes for 6 s           | 1 per second and one             |
      | 100   | the owner of the limit freezes for 6 s           | 100 per second and one           |
      | 1     | an instance joins                                | 1 per second and one             |
      | 100   | an instance joins                                | 100 per second and one           |
      | 1     | 1 in 5 messages is lost                          | 1 per second and one             |
      | 100   | 1 in 5 messages is lost                          | 100 per second and one           |
      | 1     | half of the others suspect the owner falsely     | 1.5 times 1 per second and 5     |
      | 100   | half of the others suspect the owner falsely     | 1.5 times 100 per second and 5   |
      | 1     | the fleet is split in halves                     | 1.5 times 1 per second and 5     |
      | 100   | the fleet is split in halves                     | 1.5 times 100 per second and 5   |
      | 100   | 3 of 8 instances are cut off                     | 1.5 times 100 per second and 5   |
      | 10    | all instances are cut off from each other        | 1.5 times 10 per second and 5    |

  # Guards against requests that each wait for an owner that does not answer.
  Scenario: An owner that does not answer delays no further requests
    Given 8 instances and an upstream that accepts 1 request per second
    When 1 instance sends a request
    And nothing is sent for 2 s
    And the owner does not answer while an instance sends 5 requests within 2 s
    Then they were refused after 450 ms in all

  # Guards against a permit that is used after a pause of the process.
  Scenario: An instance that was frozen does not use an old permit
    Given 8 instances and an upstream that accepts 10 requests per second
    When an instance freezes for 2 s while it waits for a permit
    Then it sends nothing when it wakes

  # Guards against unused permits that add up to a burst.
  Scenario: An upstream that was not used gets no burst
    Given 8 instances and an upstream that accepts 10 requests per second
    When 1 instance sends a request
    And nothing is sent for 20 s
    And 100 requests arrive at once
    Then no 4 s have more requests than 10 per second and one

  # Guards against all instances returning in the moment in which a limit ends.
  Scenario: A limit that ends is opened step by step
    Given 8 instances and an upstream that accepts 2 requests per second
    When requests for 50 times the limit arrive for 40 s
    And after 10 s the upstream states no limit any more
    Then in the first second afterwards it gets at most 6 requests
    And from 7 s afterwards on it gets at least 90 requests per second

  # Guards against a response from before the statement that ends the limit.
  Scenario: A response to an earlier request does not end the limit
    Given 8 instances and an upstream that accepts 2 requests per second
    When 1 instance sends a request
    And a response to an earlier request states no limit
    Then all instances know the limit within 300 ms

  # Guards against a higher limit from a response that was overtaken.
  Scenario: A response that was overtaken does not raise the limit
    Given 8 instances and an upstream that accepts 10 requests per second
    When 1 instance sends a request
    And nothing is sent for 1 s
    And the limit falls to 2 after a request has reached the upstream, and is stated to a later one first
    Then all instances know a limit of 2

  Scenario: A lower limit applies at once to requests that wait
    Given 8 instances and an upstream that accepts 10 requests per second
    When requests for 3 times the limit arrive for 30 s
    And after 10 s the upstream accepts only 1 request per second
    Then from 1 s afterwards on, no 4 s have more requests than 1 per second and one

  # Guards against a limit of 0 that is never found to have ended.
  Scenario: An upstream that accepts nothing is asked now and then
    Given 8 instances and an upstream that accepts 0 requests per second
    When requests for 2 per second arrive for 60 s
    Then the upstream gets 4 to 6 requests from 10 s on

  # Guards against a team with many requests that takes all permits.
  Scenario: Teams of the same rank get equal parts of a limit
    Given 8 instances and an upstream that accepts 4 requests per second
    When team "large" sends 20 and team "small" 1 requests per second for 40 s
    Then at least 0.9 of the requests of team "small" reach the upstream

  Scenario: A new instance is told the limits
    Given 8 instances and an upstream that accepts 1 request per second
    When 1 instance sends a request
    And nothing is sent for 5 s
    And an instance joins
    Then all instances know the limit within 300 ms

  Scenario: A request that cannot get a permit in time is refused at once
    Given 8 instances and an upstream that accepts 1 request per second
    When 1 instance sends a request
    And nothing is sent for 1 s
    And 20 requests that can wait 2000 ms arrive at once
    Then at least 17 of them are refused within 100 ms

  Scenario: Permits never exceed the limit and one in any 4 s
    Then random requests to a queue of permits keep any limit in any 4 s

  Scenario: A new process of an upstream begins without a limit
    Given 8 instances and an upstream that accepts 1 request per second
    When 1 instance sends a request
    And a new process of the upstream is listed
    Then no instance knows a limit
