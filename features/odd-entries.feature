Feature: Odd entries among those of the upstreams
  Another program may write entries to the table of the upstreams.

  # Guards against entries that are taken as usable although nothing can be sent to them.
  Scenario Outline: An entry with an odd field names no upstream
    Then an entry with <field> <value> names no upstream

    Examples:
      | field          | value                   |
      | "address"      | "127.0.0.1:99999"       |
      | "address"      | "127.0.0.1:0"           |
      | "address"      | "...:80"                |
      | "address"      | "999.1.1.1:80"          |
      | "slots"        | -5                      |
      | "slots"        | 1.5                     |
      | "slots"        | 1e300                   |
      | "cold-left-ms" | -1                      |
      | "cold-left-ms" | 1e300                   |
      | "born"         | -1                      |
      | "born"         | 1e308                   |
      | "seq"          | -1                      |
      | "seq"          | 1e308                   |
      | "version"      | 2                       |
      | "zone"         | {"a":{"b":[[[[1]]]]}}   |

  # Guards against an instance that ends, or no longer follows the list, because of one entry.
  Scenario: Instances follow the list beside odd entries
    Given a platform with the upstreams "u1" and "u2" and a daemon
    When the store has an entry of each odd kind
    And 1500 ms pass in real time
    And 8 callers ask for "/plain/1"
    Then every caller got status 200
    When "u1" registers as draining
    And 1500 ms pass in real time
    And 8 callers ask for "/plain/1"
    Then every caller got status 200
    And no further request reached "u1"

  # Guards against kinds of nonsense that nobody thought of.
  Scenario: Any entry is decoded to usable values or names no upstream
    Then 20000 random entries are decoded to usable values or name no upstream
