"""Start and run of a gateway process, for any wire format and store."""

import collections.abc
import contextlib
import logging
import pathlib
import sys

import trio

from wasabilanding.gateway import logs
from wasabilanding.gateway import messages
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding.gateway import node as node_module
from wasabilanding.gateway import settings as settings_module
from wasabilanding import metadata
from wasabilanding import model

EXIT_BAD_SETTINGS = 2

_LOG = logging.getLogger(__name__)

# Opens the store at an address and counts the calls to it.
OpenStore = collections.abc.Callable[
    [str, metadata.Count],
    contextlib.AbstractAsyncContextManager[messages.Store],
]


async def _run(
    settings: settings_module.Settings,
    path: pathlib.Path,
    open_store: OpenStore,
    wire: messages.WireFormat,
    log_lines_dropped: collections.abc.Mapping[metrics_module.Labels, int],
) -> None:
    metrics = metrics_module.Metrics(settings.node, log_lines_dropped)
    address = settings.store_address
    async with (
        open_store(address, metrics.count_store_call) as store,
        node_module.open_node(settings, store, wire, metrics) as node,
    ):
        await node_module.serve(
            node, settings, lambda: settings_module.load_settings(path)
        )


def run_process(
    path: pathlib.Path, open_store: OpenStore, wire: messages.WireFormat
) -> int:
    """Run a gateway until it has shut down.

    :param path: path of its settings file.
    :param open_store: opens the store.
    :param wire: wire format of callers and endpoints.
    :returns: exit status.
    """
    try:
        settings = settings_module.load_settings(path)
        unknown = settings_module.unknown_settings(path.read_bytes())
    except (OSError, model.InvalidDocument) as error:
        print(f"settings {path}: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    handler = logs.configure_logging(
        settings.node, settings.failure_domain, settings.log_level
    )
    if unknown:
        _LOG.warning("unknown settings ignored: %s", ", ".join(unknown))
    trio.run(_run, settings, path, open_store, wire, handler.dropped)
    return 0
