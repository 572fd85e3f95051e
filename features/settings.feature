Feature: Settings and configuration files
  A wrong file is refused with the path of the field, so that no daemon starts on a misread setting.

  Scenario Outline: The example files of both deployments are valid
    When the settings "examples/<deployment>/settings.json" are checked
    And the configuration "examples/<deployment>/configuration.json" is checked
    Then both are valid

    Examples:
      | deployment |
      | dar-lbsa   |
      | qarqanna   |

  Scenario Outline: A wrong setting is refused with the path of the field
    When the settings of "dar-lbsa" are checked with <field> set to <value>
    Then the error names "<path>"

    Examples:
      | field                  | value                 | path                         |
      | "callers.host"         | "\"not an address\""  | callers.host                 |
      | "callers.port"         | "\"8080\""            | callers.port                 |
      | "callers.colour"       | "1"                   | unknown key "colour"         |
      | "instance.id"          | "\"Upper Case\""      | instance.id                  |
      | "bounds.graceMs"       | "-1"                  | bounds.graceMs               |
      | "operators.credentials" | "[]"                 | operators.credentials        |

  Scenario: Duplicate operator names are refused
    When the settings of "dar-lbsa" are checked with the first operator repeated
    Then the error names "operators.credentials.1.name"

  Scenario Outline: A wrong configuration is refused with the path of the field
    When the configuration of "qarqanna" is checked with <field> set to <value>
    Then the error names "<path>"

    Examples:
      | field                   | value            | path                                          |
      | "upstreams.1.id"        | "\"encoder-1\""  | upstreams.1: duplicate of "encoder-1"         |
      | "upstreams.0.service"   | "\"none\""       | upstreams.0.service: "none" is not defined    |
      | "classes.0.rank"        | "\"top\""        | classes.0.rank                                |
      | "classes.0.target.share" | "2"             | classes.0.target.share                        |

  # Guards against bounds of a deployment that are dropped or misread without a word.
  Scenario Outline: Two numbers of the command line
    Then the numbers "<text>" are read as <read>

    Examples:
      | text     | read                                                       |
      | 350,4100 | 350 and 4100                                               |
      | 1.5,0    | 1.5 and 0                                                  |
      | ,        | none and none                                              |
      | ,5       | none and 5                                                 |
      | 1.5      | limits: must be two numbers, separated by a comma: "1.5"   |
      | 1,-2     | limits: must be two numbers, separated by a comma: "1,-2"  |
      | 1,2,3    | limits: must be two numbers, separated by a comma: "1,2,3" |
