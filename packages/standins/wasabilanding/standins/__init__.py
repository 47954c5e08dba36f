"""Simulated platform service and model engines, called stand-ins.

Explanation
===========

They implement the external protocols that the system uses, on loopback, and
inject faults on request. The demo, the tests and the experiments use them;
the system itself does not import them.
"""

from wasabilanding.standins.engine import Engine
from wasabilanding.standins.engine import EngineSettings
from wasabilanding.standins.engine import Fleet
from wasabilanding.standins.engine import Run
from wasabilanding.standins.engine_http import engine_app
from wasabilanding.standins.faults import Fault
from wasabilanding.standins.faults import FaultKind
from wasabilanding.standins.memory_network import MemoryNetwork
from wasabilanding.standins.platform_http import platform_app
from wasabilanding.standins.platform_http import PlatformState
from wasabilanding.standins.store import Store

__all__ = [
    "Engine",
    "EngineSettings",
    "Fault",
    "FaultKind",
    "Fleet",
    "MemoryNetwork",
    "PlatformState",
    "Run",
    "Store",
    "engine_app",
    "platform_app",
]
