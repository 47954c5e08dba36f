Feature: Reference pages

  Scenario Outline: A page says what the code says
    When the page <path> is made anew
    Then it equals the committed one

    Examples:
      | path                                |
      | docs/reference/settings.md          |
      | docs/reference/profiles.md          |
      | docs/reference/commands.md          |
      | docs/reference/settings.schema.json |
      | docs/reference/profile.schema.json  |
