"""``wasabilanding-gateway``: the gateway in the project's own form.

A signal to reload may come while a program still imports what it needs; by
default it would end the process. It is held back until it is heeded, before
anything else is imported, so this module imports nothing of the project.
"""

import importlib
import signal
import sys


def start(module: str, function: str) -> int:
    """Run a program with the signal to reload held back.

    :param module: module of the program, imported only now.
    :param function: what runs it.
    :returns: exit status.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    return getattr(importlib.import_module(module), function)()


def main() -> int:
    """Run the gateway until it has shut down."""
    return start("wasabilanding.gateway.main", "app")


if __name__ == "__main__":
    sys.exit(main())
