"""Administration API for operators, and its client.

Explanation
===========

Operators write profiles and choose one for each service. Every change names
the revision that it replaces, so that concurrent changes are detected. Every
entry VM serves this API; the command line and scripts both use it.
"""

from wasabilanding.operators.app import bounded
from wasabilanding.operators.app import operators_app
from wasabilanding.operators.client import AdministrationClient
from wasabilanding.operators.client import AdministrationError
from wasabilanding.operators.status_source import StatusSource

__all__ = [
    "AdministrationClient",
    "AdministrationError",
    "StatusSource",
    "bounded",
    "operators_app",
]
