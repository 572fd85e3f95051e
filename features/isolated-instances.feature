Feature: Instances that have lost their upstreams
  Callers, the store and the other instances still reach an instance whose connections to all
  upstreams fail.

  Background:
    Given a platform with 4 upstreams and 5 daemons that reach them through links of their own

  # Guards against callers who fail because of the instance that they reached.
  Scenario Outline: Callers of instances without upstreams are served like those of the others
    Given the links of <cut> daemons refuse connections for <ms> ms
    When callers ask each daemon 30 times for "<path>"
    Then callers of the cut daemons are served at least 0.9 times as often as those of the others

    Examples:
      | cut | ms   | path               |
      | 3   | 1000 | /plain/1           |
      | 3   | 1000 | /once/1            |
      | 4   | 1000 | /stream/resumable/ |

  # Guards against links that accept connections and then reset them.
  Scenario Outline: Callers of instances whose connections are reset are served like those of the others
    Given the links of 3 daemons are "resetting" for 1000 ms
    When callers ask each daemon 30 times for "<path>"
    Then callers of the cut daemons are served at least 0.9 times as often as those of the others

    Examples:
      | path               |
      | /plain/1           |
      | /once/1            |
      | /stream/resumable/ |

  # Guards against links that accept connections and pass nothing on.
  Scenario Outline: Callers of instances whose links are silent are served like those of the others
    Given the links of <cut> daemons are "silent" for 0 ms
    And callers have asked each daemon for "<path>" for 3000 ms
    When callers ask each daemon 30 times for "<path>"
    Then callers of the cut daemons are served at least 0.9 times as often as those of the others

    Examples:
      | cut | path               |
      | 3   | /plain/1           |
      | 3   | /once/1            |
      | 4   | /stream/resumable/ |

  # Guards against refusals by instances that lose their upstreams too.
  Scenario: A request that is passed on to an instance without upstreams is passed on to another one
    Given the links of 2 daemons refuse connections for 0 ms
    And callers ask each daemon 10 times for "/plain/1"
    And the links of 4 daemons refuse connections for 0 ms
    When 10 callers ask each of the first 2 daemons at once for "/plain/1"
    Then every caller is served

  # Guards against work that runs again because it was passed on.
  Scenario: Work that may run once runs once when it is passed on
    Given the links of 3 daemons refuse connections for 0 ms
    When callers ask each daemon 30 times for "/once/1"
    Then no request ran twice

  # Guards against an instance that leaves its callers to others for ever.
  Scenario: An instance whose upstreams are back serves its callers itself
    Given the links of 3 daemons refuse connections for 2000 ms
    When callers ask each daemon 5 times for "/plain/1"
    And all links accept connections again for 2500 ms
    And callers ask each daemon 10 times for "/plain/1"
    Then each daemon got its last 10 answers through its own links
