"""The process on every entry VM.

Explanation
===========

The daemon is a thin shell. Its loops gather events, feed them to the pure
decision functions and carry out what these return:

``control``
    holds the lease of the failure domain, plans, writes the record, sends
    orders.
``observation``
    asks this node's share of VMs for their reports.
``exchange``
    exchanges knowledge with the other nodes.
``configuration_watch``
    follows the operators' configuration.
``requests``
    runs the requests of callers.

See Also
========

wasabilanding.placement, wasabilanding.routing, wasabilanding.retries,
wasabilanding.limits, wasabilanding.knowledge, wasabilanding.membership
"""

from wasabilanding.daemon.settings import Listener
from wasabilanding.daemon.settings import load_settings
from wasabilanding.daemon.settings import Settings

__all__ = ["Listener", "Settings", "load_settings"]
