Feature: Upstreams that close while requests wait
  An upstream that was selected is looked at again when a request has waited, and before it is sent.

  # Guards against requests that reach an upstream that closed while they waited for its permit.
  Scenario Outline: A request that waits for a permit goes elsewhere when its upstream <change>
    Given the upstreams "u1" and "u2" with limits and permits after 3000 ms and 3500 ms
    When a request waits for a permit and "u1" <change> after 1000 ms
    Then it has a permit of "u2" 5000 ms after it arrived
    And it stopped waiting at "u1" within 100 ms

    Examples:
      | change                   |
      | states that it leaves    |
      | is registered as leaving |
      | is removed               |
      | restarts                 |
      | moves                    |
      | asks for a pause         |

  Scenario: A request is refused when all upstreams close while it waits
    Given the upstreams "u1" and "u2" with limits and permits after 3000 ms and 3500 ms
    When a request waits for a permit and all upstreams leave after 1000 ms
    Then it has no upstream 1100 ms after it arrived

  # Guards against waits for a connection or a permit that outlast the state in which it was selected.
  Scenario Outline: What is sent to an upstream that <change> after it was selected
    Given the upstreams "u1" and "u2" with limits and permits after 3000 ms and 3500 ms
    And "u1" was selected, with a permit
    When "u1" <change>
    Then a "request" to it is withheld
    And a "stage-call" to it is withheld
    And a "release" to it is <release>

    Examples:
      | change                   | release     |
      | states that it leaves    | let through |
      | is registered as leaving | let through |
      | asks for a pause         | withheld    |

  # Guards against a stream that goes on at another version after a wait.
  Scenario: A stream that has begun is not sent to another version
    Then a stream that began at version "v1" may go on at "v1" and not at "v2"
