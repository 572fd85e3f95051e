Feature: Batching of stage calls
  One instance fills the calls to a stage service with the pieces of all instances.

  Background:
    Given a stage service with 2 upstreams, 4 pieces a call, 200 ms a call and 10 ms a piece

  Scenario: Requests that arrive while all upstreams are busy share calls
    When 2 requests of 1 piece arrive
    And 8 requests of 1 piece arrive
    And the stage clock advances by 1000 ms
    Then all requests have their results
    And 4 calls were made

  Scenario: A call is filled by rank before the time of arrival
    When 2 requests of 1 piece arrive
    And 4 requests of 1 piece with rank 2 arrive
    And 4 requests of 1 piece with rank 0 arrive
    And 4 requests of 1 piece with rank 1 arrive
    And the stage clock advances by 230 ms
    Then the third call carries rank 0
    And the fourth call carries rank 1

  # Guards against later work that overtakes work for a data centre without a free upstream.
  Scenario: Small pieces for another data centre keep their place in the queue
    When 2 requests of 1 piece arrive
    And 1 requests of 1 piece for data centre "c" arrive
    And 12 requests of 1 piece for data centres "a" and "b" arrive
    And the stage clock advances by 260 ms
    Then the request for data centre "c" is in the third or fourth call

  Scenario: The pieces of one request stay in one call
    When 2 requests of 1 piece arrive
    And 1 requests of 3 pieces arrive
    And 1 requests of 2 pieces arrive
    And the stage clock advances by 500 ms
    Then no request was split over calls

  Scenario: A request whose deadline cannot be met is refused at once
    When 2 requests of 1 piece arrive
    And 40 requests of 1 piece arrive
    And a request with 300 ms left arrives
    Then it is refused with a retry delay above 300 ms

  Scenario: Bulky pieces wait for the data centre that uses them for a limited time
    Given the upstream in data centre "a" is busy
    When a request with bulky results for data centre "a" arrives
    And the stage clock advances by 100 ms
    Then its pieces were not sent
    When the stage clock advances by 400 ms
    Then all requests have their results

  # Guards against waits at an early stage that use up the slack of the last stage.
  Scenario: Bulky pieces without slack are sent to the upstream that is free
    Given the upstream in data centre "a" is busy
    When a request with bulky results for data centre "a" and 600 ms to its target arrives
    And the stage clock advances by 100 ms
    Then its pieces were sent to data centre "b"

  # Guards against waits that leave a tight target no time for what comes after the stage.
  Scenario: Bulky pieces wait for their data centre for a part of their slack only
    Given the upstream in data centre "a" is busy
    When a request with bulky results for data centre "a" and 1100 ms to its target arrives
    And the stage clock advances by 220 ms
    Then its pieces were sent to data centre "b"

  # Guards against idle upstreams beside a queue of pieces that all wait for the same one.
  Scenario: Bulky pieces fill calls elsewhere while more than a full call waits
    Given the upstream in data centre "a" is busy
    When 3 requests with bulky results for data centre "a" arrive
    And the stage clock advances by 10 ms
    Then a full call was sent to data centre "b"

  Scenario: Unreleased results count against the memory of their upstream
    Given upstreams have memory for 4 results
    When 4 requests of 2 pieces with results arrive
    And the stage clock advances by 600 ms
    Then 4 calls were made
    When 1 requests of 4 pieces with results arrive
    And the stage clock advances by 1000 ms
    Then 4 calls were made
    When all results are released
    And the stage clock advances by 500 ms
    Then all requests have their results

  # Guards against calls with only the few pieces that a release made room for, while many wait.
  Scenario: Calls limited by result memory are delayed until they carry enough pieces
    Given a stage service with 3 upstreams, 16 pieces a call, 240 ms a call and 6 ms a piece
    And upstreams have memory for 20 results
    And results are released 500 ms after they are made
    When 100 requests of 4 pieces with results arrive
    And the stage clock advances by 4000 ms
    Then at least 200 pieces were made, at least 8 a call on average

  Scenario: A call that carries all waiting pieces is not delayed for lack of memory
    Given upstreams have memory for 4 results
    When 2 requests of 2 pieces with results arrive
    And the stage clock advances by 1 ms
    Then 2 calls were made

  Scenario: An upstream that refuses a call gets it again later
    Given the next call is refused
    When 1 requests of 2 pieces arrive
    And the stage clock advances by 600 ms
    Then all requests have their results

  Scenario: A lost call is retried at another upstream within the retry budget
    Given the next call is lost
    When 1 requests of 2 pieces arrive
    And the stage clock advances by 2000 ms
    Then all requests have their results
    And 1 retries were taken from the budget

  Scenario: An upstream with an overdue call gets at most one further call
    Given the upstream in data centre "a" takes 3000 ms a call
    When 40 requests of 1 piece arrive over 2000 ms
    And the stage clock advances by 400 ms
    Then the upstream in data centre "a" got 2 calls

  Scenario: A repeated submission is answered without another call
    When 1 requests of 1 piece arrive
    And the stage clock advances by 300 ms
    And the first request is submitted again
    Then it is reported again
    And 1 calls were made

  Scenario: An upstream that was late gets only a small call of the least urgent pieces
    Given the upstream in data centre "a" takes 3000 ms a call
    And the upstream in data centre "a" was late before
    When 2 requests of 1 piece with rank 0 arrive
    And 2 requests of 2 pieces with rank 2 arrive
    And 4 requests of 1 piece with rank 1 arrive
    And the stage clock advances by 2500 ms
    And 4 requests of 1 piece with rank 3 arrive
    And 6 requests of 1 piece with rank 0 arrive
    And the stage clock advances by 100 ms
    Then data centre "a" got at most 2 pieces a call and none of rank 0

  Scenario: An upstream whose calls take the stated time does not count as slow beside a faster one
    Given the upstream in data centre "a" took 1.2 times and the one in "b" 0.5 times the stated time
    When a request with bulky results for data centre "a" arrives
    And the stage clock advances by 10 ms
    Then its pieces were sent to data centre "a"

  # Guards against requests that stay queued until their deadline although they cannot meet it.
  Scenario: A submission that urgent arrivals delay beyond its deadline fails at once
    When 2 requests of 4 pieces arrive
    And a request of rank 3 with 1500 ms left and 300 ms of later stages waits
    And 40 requests of 1 piece with rank 0 arrive
    And the stage clock advances by 300 ms
    Then the waiting request has failed as "late" without a call

  Scenario: A submission that can still meet its deadline stays queued
    When 2 requests of 4 pieces arrive
    And a request of rank 3 with 1500 ms left and 300 ms of later stages waits
    And 8 requests of 1 piece with rank 0 arrive
    And the stage clock advances by 1000 ms
    Then all requests have their results

  Scenario: An upstream that runs two calls at once gets two, and the next one before one ends
    Given upstreams run 2 calls at once
    When 4 requests of 4 pieces arrive
    And the stage clock advances by 1 ms
    Then 4 calls were made
    When 4 requests of 4 pieces arrive
    And the stage clock advances by 200 ms
    Then 4 calls were made
    When the stage clock advances by 35 ms
    Then 6 calls were made

  # Guards against queued work that fails while no upstream can be reached for a moment.
  Scenario: Work that waits while no upstream can be reached is done afterwards
    Given no upstream can be reached for a moment
    When 2 requests of 2 pieces arrive
    And the stage clock advances by 400 ms
    Then 0 calls were made
    When the stage clock advances by 800 ms
    Then all requests have their results

  # Guards against sorting the queue for each submission, which is too slow in an overload.
  Scenario: A submission behind a long queue reads each waiting piece at most twice
    Given 300 requests of 1 piece queued behind busy upstreams
    When one more request arrives
    Then the rank of each waiting piece was read at most twice
