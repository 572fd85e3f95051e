Feature: Evidence against parts of prompts
  All instances together find the part of prompts that crashes engines, from crashes and responses.

  # Guards against engines that are lost one after the other to a part of a prompt.
  Scenario Outline: Few engines are lost to a part, wherever it is and however often it comes
    Given <instances> instances before engines, with <parts> parts in each prompt
    When a share of <share> of the requests has one of <deadly> parts that crash engines, for 20 s
    Then at most 4 engines are lost to each of these parts
    And no request without them was refused

    Examples:
      | instances | parts | share | deadly |
      | 8         | 2     | 0.01  | 1      |
      | 8         | 3     | 0.1   | 1      |

  # Guards against many engines that begin requests with a part before the first crash is known.
  Scenario Outline: Few engines are lost to a part that many requests in progress have
    Given <instances> instances before engines, with <parts> parts in each prompt
    When a share of <share> of the requests has one of <deadly> parts that crash engines, for 20 s
    Then at most 4 engines are lost to each of these parts
    And no request without them was refused

    Examples:
      | instances | parts | share | deadly |
      | 8         | 12    | 0.1   | 3      |
      | 8         | 3     | 0.5   | 1      |
      | 62        | 3     | 0.01  | 1      |
      | 62        | 3     | 0.1   | 1      |

  # Guards against convictions of parts that were in use when engines ended for other reasons.
  Scenario: Engines that end for other reasons convict no part
    When engines of 8 instances end singly and together, in 40 runs of 30 s
    Then no part was convicted in any run

  # Guards against a team that has another team's part refused by adding it to its own requests.
  Scenario: A part that is only used beside one that crashes engines is not refused
    Given 3 instances that share evidence
    When engines crash 3 times under "dead" and "rare"
    Then all instances refuse requests with "dead" and "rare"
    And all instances accept requests with "rare" or "dead" alone
    When engines crash 1 times under "dead" and "other"
    Then all instances refuse requests with "dead"
    And all instances accept requests with "rare" or "other" alone

  # Guards against a conviction that is wrong and lasts.
  Scenario: A response to a convicted part lifts the conviction
    Given 3 instances that share evidence
    When engines crash 3 times under "part" and "part"
    Then all instances refuse requests with "part"
    And in 70 s, one request with "part" runs
    When an engine responds to "part"
    Then all instances accept requests with "part" or "part" alone

  # Guards against trials that crash an engine a minute.
  Scenario: A part that still crashes engines is tried ever less often
    Given 3 instances that share evidence
    When engines crash 3 times under "part" and "part"
    Then in 900 s, at most 4 requests with "part" run, each of which crashes an engine

  # Guards against instances that start without the convictions of the fleet.
  Scenario: An instance that starts later has the convictions of the others
    Given 3 instances that share evidence
    When engines crash 3 times under "part" and "part"
    And the first instance writes its convictions to the store, and all instances end
    And an instance starts and reads the store
    Then all instances refuse requests with "part"
    When an engine responds to "part"
    Then all instances accept requests with "part" or "part" alone

  # Guards against a refusal that promises that a request has not run, after an attempt that may have.
  Scenario: A retry whose deadline passes while it waits may have run
    When the deadline of a request passes while its second attempt waits because of a suspect part
    Then the request may have run
