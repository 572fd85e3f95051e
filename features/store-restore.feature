Feature: A store that comes back from a copy
  The store may lose what it acknowledged in the last seconds; its versions are then given out again.

  Background:
    Given a platform with the upstreams "u1" and "u2" and 3 daemons
    And 1500 ms pass in real time

  # Guards against versions that are compared with those from before the restore.
  Scenario Outline: A change after the restore is in force within two seconds
    Given a copy of the store is made
    When the row of an upstream is written 20 times
    And the store comes back from the copy after 500 ms
    And the row of an upstream is written <writes> times
    And a configuration without the key is written
    And 2000 ms pass in real time
    And a caller asks each daemon for "/plain/1"
    Then every caller got status 401

    Examples:
      | writes |
      | 1      |
      | 40     |

  # Guards against changes that come back older.
  Scenario: A change that the copy lacks stays in force
    Given a copy of the store is made
    When a configuration without the key is written
    And 2000 ms pass in real time
    And the store comes back from the copy after 500 ms
    And 2500 ms pass in real time
    And a caller asks each daemon for "/plain/1"
    Then every caller got status 401

  # Guards against an instance that only knows the copy.
  Scenario: An instance that starts after the restore has the change that the copy lacks
    Given a copy of the store is made
    When a configuration without the key is written
    And 2000 ms pass in real time
    And the store comes back from the copy after 500 ms
    And another daemon starts
    And 3000 ms pass in real time
    And a caller asks each daemon for "/plain/1"
    Then every caller got status 401

  # Guards against an upstream that seems to serve again because its row is older.
  Scenario: An upstream that drained before the restore gets no new requests
    Given a copy of the store is made
    When "u1" registers as draining
    And 1500 ms pass in real time
    And the store comes back from the copy after 500 ms
    And 1500 ms pass in real time
    And 12 callers ask for "/plain/1"
    Then every caller got status 200
    And "u1" ran nothing

  # Guards against an upstream that seems to be listed again because its row is older.
  Scenario: An upstream that left before the restore gets no new requests
    Given a copy of the store is made
    When "u1" is removed
    And 1500 ms pass in real time
    And the store comes back from the copy after 500 ms
    And 1500 ms pass in real time
    And 12 callers ask for "/plain/1"
    Then every caller got status 200
    And "u1" ran nothing

  # Guards against an upstream that stays unknown after it has registered again.
  Scenario: An upstream that the copy lacks is used when it has registered again
    Given "u2" is removed
    And 1500 ms pass in real time
    And a copy of the store is made
    When "u2" registers with a higher sequence
    And "u1" is removed
    And the store comes back from the copy after 500 ms
    And "u2" registers with a higher sequence
    And 1500 ms pass in real time
    And 6 callers ask for "/plain/1"
    Then every caller got status 200

  # Guards against an instance that keeps the versions of a former copy because it reads no store.
  Scenario: An instance that does not reach the store follows another one across the restore
    Given the last daemon loses access to the store
    And a copy of the store is made
    When the row of an upstream is written 20 times
    And the store comes back from the copy after 500 ms
    And a configuration without the key is written
    And 4000 ms pass in real time
    And a caller asks each daemon for "/plain/1"
    Then every caller got status 401

  # Guards against instances that are no longer listed, as they register only once.
  Scenario: An instance that registered since the copy registers again
    Given a copy of the store is made
    When another daemon starts
    And the store comes back from the copy after 500 ms
    Then the last daemon is registered within 21 s
