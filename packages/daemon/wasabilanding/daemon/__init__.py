"""Daemon that runs on every entry VM.

Explanation
===========

The daemon's loops gather events, pass them to pure decision functions and
carry out the returned decisions:

``control``
    holds the control lease of the failure domain, plans its replicas,
    writes its record and sends orders to its VMs.
``observation``
    collects reports from the VMs assigned to this node.
``exchange``
    exchanges documents and reports with the other nodes.
``configuration_watch``
    watches the store for changes of the configuration.
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
