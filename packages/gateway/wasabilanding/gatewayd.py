"""``wasabilanding-gateway``: the gateway with the project's wire format.

SIGHUP, which asks for a reload, may arrive while a program still imports its
modules, and would then terminate the process by default. It is blocked before
anything else is imported and unblocked once a handler is installed, so this
module imports nothing of the project at the top. Garbage is not collected
during the import, as imported modules stay in use.
"""

import gc
import importlib
import signal
import sys


def start(module: str, function: str) -> int:
    """Import a program with SIGHUP blocked and run it.

    :param module: module of the program, imported after the block.
    :param function: name of its entry point.
    :returns: exit status.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    gc.disable()
    entry_point = getattr(importlib.import_module(module), function)
    gc.freeze()
    gc.enable()
    return entry_point()


def main() -> int:
    """Run the gateway until it has shut down."""
    return start("wasabilanding.gateway.main", "app")


if __name__ == "__main__":
    sys.exit(main())
