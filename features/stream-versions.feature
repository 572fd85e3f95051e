Feature: Streams before engines of several software versions
  What two software versions write does not fit together; engines do not check which one began a
  stream.

  # Guards against an answer that goes on at another version.
  Scenario Outline: A stream that breaks off goes on at the version that began it
    Given <daemons> daemons before <old> engines of version "v1" and <new> of version "v2"
    And all engines break off after 2 events of each response
    When 40 callers receive streams and resume those that break off
    Then no stream holds events of two versions
    And no event is missing or comes twice
    And every stream is whole

    Examples:
      | daemons | old | new |
      | 1       | 2   | 2   |
      | 3       | 3   | 5   |

  # Guards against an answer that goes on at another version because no engine of its own is left.
  Scenario: A stream whose version has no other engine does not go on
    Given 1 daemons before 1 engines of version "v1" and 3 of version "v2"
    And all engines break off after 1 events of each response
    When 40 callers receive streams and resume those that break off
    Then no stream holds events of two versions
    And no event is missing or comes twice

  # Guards against instances that do not know which version began a stream elsewhere.
  Scenario: A stream that ends with all daemons goes on at the version that began it
    Given 3 daemons before 3 engines of version "v1" and 3 of version "v2"
    And all streams last several seconds
    When 40 callers begin to receive streams
    And all daemons end at the same moment and others start
    And the streams have ended
    Then no stream holds events of two versions
    And no event is missing or comes twice
    And at least 1 in 2 of the resumed streams go on

  # Guards against a stream that goes on at the version that is left.
  Scenario: A stream whose version has left does not go on after the end of all daemons
    Given 3 daemons before 3 engines of version "v1" and 3 of version "v2"
    And all streams last several seconds
    When 40 callers begin to receive streams
    And all daemons end at the same moment and others start
    And the engines of version "v1" end
    And the streams have ended
    Then no stream holds events of two versions
    And no event is missing or comes twice
    And at least 1 in 4 of the resumed streams go on
