"""The operators' command line.

Explanation
===========

Each group of commands is a module; ``main`` assembles them. Input files are
validated before anything is sent, and each kind of error has its exit code.
"""

from wasabilanding.command.references import pages

__all__ = ["pages"]
