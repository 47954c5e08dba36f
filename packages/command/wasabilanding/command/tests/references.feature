Feature: Reference pages

  Scenario Outline: A committed page matches the code
    When the page <path> is generated
    Then it equals the committed page

    Examples:
      | path                                |
      | docs/reference/settings.md          |
      | docs/reference/profiles.md          |
      | docs/reference/commands.md          |
      | docs/reference/settings.schema.json |
      | docs/reference/profile.schema.json  |
