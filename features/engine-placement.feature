Feature: Placement of requests at engines by the load of the whole fleet
  Instances place requests at engines of 24 slots that read 39.3 tokens in a ms, one prompt after
  the other. A prompt has 6300 tokens that requests of the same part share and 2900 of its own. Each
  instance exchanges figures with one instance that all of them call.

  # Guards against choices that read shared parts at more engines than needed.
  Scenario Outline: In calm all requests of a part go to its home
    Given <instances> instances that exchange figures of <engines> engines every <ms> ms
    When 110 requests a second of 300 parts arrive for 8 s
    Then all requests of each part went to one engine

    Examples:
      | instances | engines | ms   |
      | 64        | 98      | 200  |
      | 89        | 63      | 200  |
      | 8         | 98      | 2000 |

  # Guards against a home that gets three times what it can read.
  Scenario Outline: A hot part gets further homes in time and gives them back
    Given <instances> instances that exchange figures of <engines> engines every <ms> ms
    When 110 requests a second of 300 parts arrive for 3 s
    And 146 requests a second arrive for 6 s, of which 0.28 have the first part
    Then no engine had more than <most> requests at a time
    And at most <late> in 100 of them had their first event after 900 ms
    And the first part had 2 to 4 homes, each with a tenth of its requests at least
    When 110 requests a second of 300 parts arrive for 6 s
    And each instance sends a request with the first part 400 ms after the other
    Then these requests went to one engine

    Examples:
      | instances | engines | ms   | most | late |
      | 64        | 98      | 200  | 24   | 2    |
      | 89        | 63      | 200  | 24   | 2    |
      | 64        | 98      | 1000 | 48   | 12   |

  # Guards against instances that all choose the engine which an old figure shows as free.
  Scenario Outline: Instances that decide at the same moment do not choose the same engine
    Given <instances> instances that exchange figures of <engines> engines every <ms> ms
    When 110 requests a second of 300 parts arrive for 2 s
    And 146 requests a second arrive for 3 s, of which 0.28 have the first part
    And each instance sends a request with the first part at the same moment
    Then no engine had more than <most> requests at a time

    Examples:
      | instances | engines | ms   | most |
      | 64        | 98      | 200  | 36   |
      | 89        | 63      | 200  | 40   |
      | 64        | 98      | 1000 | 48   |

  Scenario: A class at 2.6 times its rate for 6 s is served in time at engines of unlike speed
    Given 89 instances that exchange figures of 63 engines every 200 ms
    When every third engine takes 1.7 times as long and the others 0.7 times
    And 67 requests a second of 300 parts arrive for 4 s
    And 174 requests a second of 300 parts arrive for 6 s
    Then no engine had more than 24 requests at a time
    And at most 1 in 100 of them had their first event after 900 ms

  # Guards against slow engines that each instance has to find for itself.
  Scenario: A third of the engines that becomes three times slower is left, and found again
    Given 64 instances that exchange figures of 98 engines every 200 ms
    When 110 requests a second of 300 parts arrive for 4 s
    And every third engine takes 3 times as long
    And 110 requests a second of 300 parts arrive for 10 s
    Then at most 12 in 100 of the requests of the last 4 s went to these engines
    When every third engine takes 1 times as long
    And 110 requests a second of 300 parts arrive for 14 s
    Then at least 20 in 100 of the requests of the last 4 s went to these engines

  # Guards against engines of unlike speed that get the same number of requests.
  Scenario: Engines of unlike speed get work by the expected time
    Given 89 instances that exchange figures of 63 engines every 200 ms
    When every third engine takes 1.7 times as long and the others 0.7 times
    And 67 requests a second of 300 parts arrive for 12 s
    Then at most 12 in 100 of the requests of the last 4 s went to these engines

  # Guards against calls that an instance of the previous version, which carries nothing, refuses.
  Scenario Outline: Calls carry figures between instances that know them
    When an instance that carries figures calls one that carries <figures>
    Then the call is answered, and <count> figures have arrived on each side

    Examples:
      | figures | count |
      | figures | 1     |
      | nothing | 0     |

  Scenario: Figures that are not a digest are ignored
    Then a digest that is not one is ignored

  # Guards against a caller that states any numbers and IDs.
  Scenario: Odd prompt parts spoil no digest
    Then a digest after requests with odd prompt parts is one, and tells less than 60 s of work

  # Guards against messages that grow with the fleet.
  Scenario: A digest of engines is small, whatever the fleet
    Given 300 instances that exchange figures of 1400 engines every 200 ms
    When 1500 requests a second of 5000 parts arrive for 2 s
    Then a digest has at most 3000 bytes

  # Guards against run times of whole answers that are taken for times to the first event.
  Scenario: Whole answers do not make an engine look slow
    Given one instance and 6 engines of 24 slots
    When 30 requests of one prefix get whole answers after 1 s, one after the other
    Then all of them went to the home

  Scenario Outline: An engine that gives <answers> is left
    Given one instance and 6 engines of 24 slots
    When 30 requests of one prefix get <answers> after 1 s, one after the other
    Then no engine got more than 12 of them

    Examples:
      | answers        |
      | no answer      |
      | broken answers |

  # Guards against full engines that hide the others.
  Scenario Outline: Requests of one prefix use the slots of all engines
    Given one instance and 16 engines of 4 slots
    When <count> requests of one prefix are sent at the same moment
    Then no engine got more than <most> of them

    Examples:
      | count | most |
      | 32    | 2    |
      | 64    | 4    |
      | 80    | 6    |

  # Guards against a slow engine that gets all its parts back without a measurement.
  Scenario: A slow engine whose measurements are old gets probes until one is fast
    Given one instance and 6 engines of 24 slots
    When the home is measured to be 3 times slower
    And 9 s later 60 requests of one prefix are placed
    Then one of them went to the home
    And an instance still tells that it is slow
    When the home is measured once at the usual speed
    And 1 s later 60 requests of one prefix are placed
    Then all of them went to the home

  Scenario: An engine that others told to be slow gets probes until they tell it no longer
    Given one instance and 6 engines of 24 slots
    When the home is told to be 3 times slower
    And 9 s later 60 requests of one prefix are placed
    Then one of them went to the home
    When the others no longer tell that it is slow
    And 1 s later 60 requests of one prefix are placed
    Then all of them went to the home

  Scenario: A slow engine that was told by an instance that ended gets probes until one is fast
    Given one instance and 6 engines of 24 slots
    When the home is told to be 3 times slower
    And 9 s later 60 requests of one prefix are placed
    Then one of them went to the home
    When the home is measured once at the usual speed
    And 1 s later 60 requests of one prefix are placed
    Then all of them went to the home

  # Guards against a request whose stages, dispatch and session go to different engines.
  Scenario: All choices for a request that probes a failing home agree
    Given one instance and 6 engines of 24 slots
    When the home fails
    Then the first request that is placed goes to the home each time, the next one elsewhere
