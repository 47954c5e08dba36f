"""Stand-ins and helpers that the scripts under review/ share."""
