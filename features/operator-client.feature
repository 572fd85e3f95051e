Feature: Operators' client
  Each command prints its result or ends with a documented exit code.

  Background:
    Given 1 instances

  Scenario: Commands print results
    Then "status --json" ends with 0 and prints "\"configurationVersion\":1"
    And "config show" ends with 0 and prints "version: 1"
    And "upstream list" ends with 0 and prints "id=advice-1"
    And "target set chat --time-ms 2500 --share 0.8 --json" ends with 0 and prints "\"version\":2"
    And "config history" ends with 0 and prints "operator: amal"
    And "upstream remove advice-1" ends with 0 and prints "state=leaving"
    And "upstream remove advice-1 --now" ends with 0 and prints "kind=remove"
    And "config apply --help" ends with 0 and prints "Example"

  Scenario: Failures end with their exit codes
    Then "target set chat --time-ms 2500 --share 1.5" ends with 1 and prints "share: 1.5 is not allowed"
    And "target set none --time-ms 2500 --share 1" ends with 1 and prints "unknown-class"
    And "request status x" ends with 1 and prints "unknown-request"
    And "config apply" ends with 2 and prints "--base-version"
    And "config apply none.json --base-version 1" ends with 2 and prints "cannot read none.json"
    And "status --server http://127.0.0.1:1" ends with 4 and prints "no answer"

  Scenario: A document is applied once although answers are lost
    When the next 2 answers to changes are lost
    Then applying the document with other floors on version 1 ends with 0 and prints "version 2 on 1 of 1"
    And applying the document with other floors on version 1 ends with 5 and prints "version 2 is in force"
    And version 2 has the other floors
