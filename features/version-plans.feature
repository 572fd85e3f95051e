Feature: Plans of software versions
  The version of a stream follows from its attempt ID and a stored plan that changes with releases.

  # Guards against writes for each stream while versions do not change.
  Scenario Outline: Two versions that serve side by side need no writes
    Given <instances> instances before engines of versions "v1" and "v2", <seeds> times
    When streams are sent for 30 s
    Then no stream of them goes on at another version
    And at least 0.9 of those go on whose version has two engines
    And nothing is written to the store
    And new streams are spread over the versions as their places within 0.05

    Examples:
      | instances | seeds |
      | 8         | 2     |
      | 62        | 1     |

  # Guards against streams that are joined, or refused, around releases and losses of all instances.
  Scenario Outline: Releases and losses of all instances join no streams
    Given <instances> instances before engines of versions "v1" and "v2", <seeds> times
    When streams are sent while versions "v3" and "v4" are released and all instances end at random moments
    Then no stream of them goes on at another version
    And at least 0.9 of those go on whose version has two engines

    Examples:
      | instances | seeds |
      | 3         | 10    |
      | 8         | 10    |
      | 62        | 2     |

  # Guards against streams that go on by plan although they began at another version.
  Scenario Outline: The store is away while streams run that began at another version than planned
    Given <instances> instances before engines of versions "v1" and "v2", <seeds> times
    And 0.1 of the streams find engines of one version only usable
    When streams are sent for 20 s and the store is away for 6 s meanwhile
    Then no stream of them goes on at another version
    And at least 0.5 of those go on whose version has two engines

    Examples:
      | instances | seeds |
      | 3         | 5     |
      | 8         | 5     |
      | 62        | 1     |

  # Guards against a table that grows with each release, as nothing in the store expires by itself.
  Scenario: Records of streams that have ended are removed
    Given 8 instances before engines of versions "v1" and "v2", 1 times
    When streams are sent while versions "v3" and "v4" are released and all instances end at random moments
    And 400 s pass for the fleets
    And streams are sent while versions "v5" and "v6" are released and all instances end at random moments
    Then the store holds only records that were written in the last 300 s

  # Guards against a resumption by a plan that other instances have changed meanwhile.
  Scenario Outline: Without the store, a resumption follows a plan only if no version can have joined
    Given an instance that knows a plan of version "v1" and has rows of <age> ms
    And it was <delay> ms late, and engines of "<versions>" serve
    When it resumes a stream and cannot read the store
    Then the stream <outcome>

    Examples:
      | age      | delay | versions | outcome       |
      | 500      | 0     | v1       | goes on at v1 |
      | 500      | 0     | v1 v2    | is refused    |
      | 2000     | 0     | v1       | is refused    |
      | Infinity | 0     | v1       | is refused    |
      | 500      | 4000  | v1       | is refused    |
