"""The operators' command line.

Explanation
===========

Each group of commands is a module; ``main`` joins them. Documents are
checked before anything is sent, and each refusal has its exit code.
"""

from wasabilanding.command.references import pages

__all__ = ["pages"]
