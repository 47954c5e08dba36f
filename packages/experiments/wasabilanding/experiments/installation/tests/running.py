"""Running installations and their callers, for the steps of this folder."""

import contextlib
import functools
import pathlib
import signal
import tempfile

import httpx
import trio

from wasabilanding.experiments.installation import launch


def start(context, plan, is_cuttable=False, **options):
    """Start the installation of a scenario; it ends with the scenario.

    :param context: context of the scenario; receives the installation.
    :param plan: size of the installation.
    :param is_cuttable: whether gateways can be cut off from endpoints.
    :param options: further options of the installation.
    """
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.installation = launch.Installation(
        plan, pathlib.Path(folder.name), is_cuttable=is_cuttable, **options
    )
    context.installation.__enter__()
    context.add_cleanup(
        functools.partial(context.installation.__exit__, None, None, None)
    )
    context.installation.wait_until_serving()


@contextlib.asynccontextmanager
async def open_client(timeout_s):
    """Yield an HTTP client of callers.

    :param timeout_s: seconds after which it gives a request up.
    """
    transport = httpx.AsyncHTTPTransport(verify=False)
    async with httpx.AsyncClient(
        transport=transport, timeout=timeout_s
    ) as client:
        yield client


async def kill_and_restart(installation, gateway):
    """Kill a gateway and start it again at once.

    :param installation: running installation.
    :param gateway: the gateway.
    """
    gateway.process.send_signal(signal.SIGKILL)
    await trio.to_thread.run_sync(gateway.process.wait)
    installation.restart(gateway)


async def restart_in_series(installation, interval_s):
    """Kill and restart each gateway, one after the other.

    :param installation: running installation.
    :param interval_s: seconds before each.
    """
    for gateway in installation.gateways:
        await trio.sleep(interval_s)
        await kill_and_restart(installation, gateway)
