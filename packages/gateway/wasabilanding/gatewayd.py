"""``wasabilanding-gateway``: the gateway in the project's own form.

A signal to reload may come while the process still imports what it needs; by
default it would end the process. It is held back until it is heeded, before
anything else is imported.
"""

import importlib
import signal
import sys


def main() -> int:
    """Run the gateway until it has shut down."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    return importlib.import_module("wasabilanding.gateway.main").app()


if __name__ == "__main__":
    sys.exit(main())
