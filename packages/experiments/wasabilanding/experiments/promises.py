"""What the parts of the demo have in common."""


class BrokenPromise(Exception):
    """Something that must always hold did not."""
