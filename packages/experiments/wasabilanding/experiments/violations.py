"""Error that the parts of the demo raise for a violated property."""


class PropertyViolated(Exception):
    """A property that must always hold was violated."""
