"""The operators' command line."""

from wasabilanding.command.main import main

__all__ = ["main"]
