Feature: Cold upstreams get what they bear from all instances together
  Engines bear 7.3 requests per second while they are cold, and 16 in any second. Instances on a
  manual clock read rows up to 1.5 s late; messages between them take 5 ms.

  # Guards against instances that each send their usual load to engines that have just started.
  Scenario Outline: A data centre returns cold to <instances> instances and <hot> of a hot prompt
    Given <instances> instances and 99 engines
    When 541 requests per second and <hot> of the hot prompt arrive for 6 s and the data centre returns
    Then no cold engine gets more than 16 requests in a second
    And cold engines get at least 100 requests
    And at most 0.01 of the requests are refused

    Examples:
      | instances | hot |
      | 8         | 106 |
      | 64        | 106 |
      | 89        | 41  |
      | 300       | 106 |

  # Guards against a bound that is lost together with an owner, or doubled by its successor.
  Scenario Outline: The bound holds when <event>
    Given 64 instances and 9 engines
    When the data centre returns cold
    And its rows are read
    And <event>
    And 60 requests per second and 100 of the hot prompt arrive for 3 s
    Then no cold engine gets more than 16 requests in a second

    Examples:
      | event                                  |
      | the owner of the home ends             |
      | the owner of the home restarts         |
      | half of the others suspect the owner   |
      | the fleet is split into 2 parts        |
      | the fleet is split into 4 parts        |
      | 1 in 5 messages is lost                |

  # Guards against what instances send before they have read that an engine is cold.
  Scenario: Warm engines become cold under their usual load
    Given 64 instances and 99 engines
    When 249 requests per second and 20 of the hot prompt arrive for 4 s and the data centre becomes cold
    Then no cold engine gets more than 16 requests in a second

  Scenario: Warm engines become cold under the usual load and 41 requests of a hot prompt
    Given 64 instances and 99 engines
    When 249 requests per second and 41 of the hot prompt arrive for 4 s and the data centre becomes cold
    Then no cold engine gets more than 16 requests in a second

  Scenario: Warm engines become cold under the usual load and 60 requests of a hot prompt
    Given 64 instances and 99 engines
    When 249 requests per second and 60 of the hot prompt arrive for 4 s and the data centre becomes cold
    Then no cold engine gets more than 16 requests in a second

  Scenario: Warm engines become cold under the usual load and 106 requests of a hot prompt
    Given 64 instances and 99 engines
    When 249 requests per second and 106 of the hot prompt arrive for 4 s and the data centre becomes cold
    Then no cold engine gets more than 16 requests in a second

  Scenario: An engine becomes cold without a request
    Given 64 instances and 9 engines
    When one instance reads that it is cold
    And 60 requests of the hot prompt arrive
    Then no cold engine gets more than 16 requests in a second

  # Guards against statements that prolong each other.
  Scenario: An engine counts as cold for as long as it says
    Given 64 instances and 9 engines
    When one instance reads that it is cold and sends a request
    And 300 requests per second and 106 of the hot prompt arrive for 6 s
    Then no instance counted it as cold for longer than 3200 ms

  # Guards against instances that each find out by their own rows.
  Scenario: One instance has read that an engine has become cold
    Given 64 instances and 9 engines
    When one instance reads that it is cold and sends a request
    And 60 requests of the hot prompt arrive
    Then no cold engine gets more than 16 requests in a second

  # Guards against instances that go on with what they read before a pause.
  Scenario: 32 instances that were frozen while an engine became cold
    Given 64 instances and 9 engines
    When 32 instances freeze while the data centre becomes cold
    And 80 requests of the hot prompt arrive at them
    Then no cold engine gets more than 16 requests in a second

  Scenario: Callers of one instance that was frozen are served
    Given 64 instances and 9 engines
    When 1 instances freeze while the data centre becomes cold
    And 4 requests of the hot prompt arrive at them
    Then at most 0.0 of the requests are refused

  # Guards against engines that became cold while their data centre was evacuated.
  Scenario: The evacuation of a data centre ends
    Given 64 instances and 9 engines
    When the evacuation of the data centre ends and its engines are cold
    And 60 requests per second and 100 of the hot prompt arrive for 3 s
    Then no cold engine gets more than 16 requests in a second

  # Guards against warm engines that are paced because of a lost link.
  Scenario: Warm engines to which connects were lost
    Given 64 instances and 9 engines
    When each instance fails once to connect to each engine
    And 1000 ms pass in the fleet
    And 100 requests per second and 20 of the hot prompt arrive for 5 s
    Then at most 0.1 of the requests are refused

  Scenario: Warm engines that state it, to which connects were lost
    Given 64 instances and 9 engines that state how cold they are
    When each instance fails once to connect to each engine
    And 1000 ms pass in the fleet
    And 100 requests per second and 20 of the hot prompt arrive for 5 s
    Then at most 0.1 of the requests are refused

  # Guards against what was read before a pause, and counts as unknown after the rows were read.
  Scenario Outline: <count> of 64 instances are paused and the engines are warm
    Given 64 instances and 9 engines
    When <count> instances are paused for 1100 ms
    And 2200 ms pass in the fleet
    And 200 requests per second and 40 of the hot prompt arrive for 5 s
    Then no permit is asked for
    And at most 0.0 of the requests are refused

    Examples:
      | count |
      | 32    |
      | 64    |

  Scenario: A data centre is taken back warm
    Given 64 instances and 9 engines
    When its evacuation ends
    And 2200 ms pass in the fleet
    And 200 requests per second and 40 of the hot prompt arrive for 3 s
    Then no permit is asked for

  Scenario: A daemon knows the ends of evacuations
    Given the parts of a daemon on the platform
    When the evacuation of "a" ends there
    Then its upstreams count as unknown from then on

  Scenario Outline: The option "<text>" says what a cold upstream bears
    Then the option "<text>" gives "<bounds>"

    Examples:
      | text  | bounds                    |
      | 1.5,5 | {"factor":1.5,"slack":5}  |
      | 1.5,0 | {"factor":1.5,"slack":0}  |
      | ,     | undefined                 |
      | 1.5,  | undefined                 |
      | ,5    | undefined                 |
      | 1.5   | invalid-settings          |
      | x,5   | invalid-settings          |
      | 1,2,3 | invalid-settings          |
      | -1,5  | invalid-settings          |

  # Guards against requests that are lost for want of permits, and callers that are not told.
  Scenario: All engines are cold
    Given 8 instances and 3 engines
    When all engines start
    And 0 requests per second and 60 of the hot prompt arrive for 2 s
    Then no cold engine gets more than 16 requests in a second
    And cold engines get at least 20 requests
    And at least 20 requests are refused

  Scenario: An earlier deployment paces nothing
    Given 64 instances and 9 engines of an earlier deployment
    When the data centre returns cold
    And its rows are read
    And 60 requests per second and 100 of the hot prompt arrive for 2 s
    Then no permit is asked for
    And a cold engine gets more than 60 requests in a second

  Scenario Outline: The pace for <perSecond> requests per second, factor <factor> and slack <slack>
    Then the pace of <perSecond> requests per second, factor <factor> and slack <slack> is <pace>

    Examples:
      | perSecond | factor | slack | pace |
      | 7.3       | 1.5    | 5     | 6.64 |
      | 2         | 1.5    | 5     | 2    |
      | 10        | 1.2    | 0     | 4.76 |
      | 1         | 1      | 0     | 0    |

  Scenario Outline: A service with "cold-per-s" <perSecond>
    Then a service with the rate <perSecond> has the warm-up "<warmup>"

    Examples:
      | perSecond | warmup                                     |
      | 7.3       | {"requestsPerSecond":7.3,"startMs":3000}   |
      | 0         | undefined                                  |
      | absent    | undefined                                  |

  Scenario Outline: The header "<text>" states <ms>
    Then a response with the remaining time "<text>" states <ms>

    Examples:
      | text | ms        |
      | 2500 | 2500      |
      | 0    | 0         |
      | -1   | undefined |
      | x    | undefined |
      | 1e99 | undefined |
