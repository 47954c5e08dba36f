"""A gateway that goes by a lowered idle timeout sooner than usual.

Explanation
===========

A gateway keeps connections for as long as an earlier idle timeout allows until
its callers know of the lower one, which takes longer than a test. The
environment names a shorter time. :data:`PROGRAM` is run by Python with the
options of the gateway, and blocks SIGHUP at first as the gateway does.
"""

import os

from wasabilanding.experiments.installation import cut_gateway
from wasabilanding.gateway import main
from wasabilanding.listening import idle_limit

PROGRAM = (
    f"from wasabilanding import gatewayd;gatewayd.start({__name__!r}, 'run')"
)
SETTLING_S = "WASABILANDING_SETTLING_S"


def run() -> None:
    """Run a gateway, which can also be cut if the environment says so."""
    idle_limit.SETTLING_S = float(os.environ[SETTLING_S])
    if cut_gateway.CUT_FILE in os.environ:
        cut_gateway.run()
    else:
        main.app()
