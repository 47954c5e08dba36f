"""Operators: the administration API and its client.

Explanation
===========

Operators write profiles and choose one for each service; every change says
which revision it replaces. The command line and scripts use the same API, on
any entry VM.
"""

from wasabilanding.operators.app import operators_app
from wasabilanding.operators.client import AdministrationClient
from wasabilanding.operators.client import AdministrationError
from wasabilanding.operators.status_source import StatusSource

__all__ = [
    "AdministrationClient",
    "AdministrationError",
    "StatusSource",
    "operators_app",
]
