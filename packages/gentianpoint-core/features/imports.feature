Feature: Entries and agents import only what they need
  A library that is imported at the top of a module for a command or a rare
  code path stays in the memory of every entry or agent. This goes unnoticed
  until hosts with little memory for control processes run out of it, or
  starts after an outage take long. So the modules imported by the time the
  settings are read are compared with a list of libraries that serving does
  not need.

  Scenario: the entry
    When the entry has read its settings
    Then none of these modules is imported
      | module                            | what it is for              |
      | gentianpoint_entry.load           | load tool                   |
      | gentianpoint_entry.operator_app   | operators' commands         |
      | gentianpoint_entry.manifests      | operators' files            |
      | gentianpoint_core.telemetry_exports | export of spans and metrics |
      | opentelemetry.sdk                 | export of spans and metrics |
      | opentelemetry.exporter            | export with a collector     |
      | requests                          | export with a collector     |
      | google.protobuf                   | export with a collector     |
      | typer                             | operators' commands         |
      | pydantic                          | operators' commands         |
      | yaml                              | operators' files            |
      | numpy                             | load tool                   |
      | matplotlib                        | load tool                   |
      | ddsketch                          | load tool                   |

  Scenario: the agent
    When the agent has read its settings
    Then none of these modules is imported
      | module                            | what it is for              |
      | gentianpoint_entry                | the other binary            |
      | gentianpoint_core.configuration   | the fold, which entries do  |
      | gentianpoint_core.telemetry_exports | export of spans and metrics |
      | opentelemetry.sdk                 | export of spans and metrics |
      | opentelemetry.exporter            | export with a collector     |
      | requests                          | export with a collector     |
      | google.protobuf                   | export with a collector     |
      | jsonschema                        | the fold                    |
      | typer                             | operators' commands         |
      | pydantic                          | operators' commands         |
      | yaml                              | operators' files            |
      | quart                             | callers                     |
      | hypercorn                         | callers                     |
      | numpy                             | load tool                   |
      | matplotlib                        | load tool                   |
      | ddsketch                          | load tool                   |
