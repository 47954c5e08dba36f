"""Command line of the simulated platform and engines.

Explanation
===========

``python -m wasabilanding.standins.main platform --port N`` runs the platform,
``... fleet --settings FILE`` the engines of one failure domain and ``...
fabric --settings FILE`` engines that register themselves. Each engine has its
own port; a control port injects faults.
"""

import dataclasses
import functools
import pathlib

import httpx
import quart
import quart_trio
import trio
import typer

from wasabilanding import metadata
from wasabilanding import model
from wasabilanding.standins import engine as engine_module
from wasabilanding.standins import engine_http
from wasabilanding.standins import fabric_server
from wasabilanding.standins import listening
from wasabilanding.standins import platform_http
from wasabilanding.standins import store

app = typer.Typer()


@dataclasses.dataclass(frozen=True)
class FleetVm:
    """A VM of the fleet.

    :param vm: VM as listed by the platform.
    :param port: port of its engine.
    :param settings: timing, limits and faults of its engine.
    """

    vm: model.Vm
    port: int
    settings: engine_module.EngineSettings = engine_module.EngineSettings()


@dataclasses.dataclass(frozen=True)
class FleetSettings:
    """The VMs of one failure domain.

    :param platform_url: base URL of the platform.
    :param control_port: port of the control interface.
    :param vms: the VMs.
    """

    platform_url: str
    control_port: int
    vms: tuple[FleetVm, ...]


async def _run_platform(port: int) -> None:
    state = platform_http.PlatformState(store.Store())
    application = platform_http.platform_app(state)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listening.end_on_signal, nursery.cancel_scope)
        nursery.start_soon(listening.serve, application, port)


class FleetServer:
    """Listeners of the engines of one failure domain.

    :param settings: the VMs and their engines.
    :param nursery: runs the listeners.
    """

    def __init__(self, settings: FleetSettings, nursery: trio.Nursery) -> None:
        self._ports = {vm.vm.vm: vm.port for vm in settings.vms}
        self._listeners = listening.Listeners(nursery)
        fetch = functools.partial(_fetch_weights, settings.platform_url)
        self.fleet = engine_module.Fleet(nursery, fetch)
        self.fleet.on_kill = self._listeners.close
        for vm in settings.vms:
            self.fleet.add(vm.vm.vm, vm.settings)

    def open(self, vm: str) -> None:
        """Open the listener of a VM.

        :param vm: ID of the VM.
        """
        application = engine_http.engine_app(self.fleet.engines[vm])
        self._listeners.open(vm, application, self._ports[vm])


async def _fetch_weights(url: str, wanted: str) -> None:
    async with httpx.AsyncClient(timeout=listening.NO_LIMIT_S) as http:
        await http.get(f"{url}/v1/weights/{wanted}")


def _control_app(server: FleetServer) -> quart_trio.QuartTrio:
    application = quart_trio.QuartTrio("fleet-control")
    fleet = server.fleet

    @application.post("/standin/<vm>/kill")
    async def kill(vm: str) -> quart.ResponseReturnValue:
        fleet.kill(vm)
        return {}

    @application.post("/standin/<vm>/restart")
    async def restart(vm: str) -> quart.ResponseReturnValue:
        fleet.engines[vm].restart()
        server.open(vm)
        return {}

    @application.post("/standin/<vm>/leave")
    async def leave(vm: str) -> quart.ResponseReturnValue:
        fleet.engines[vm].leaving = True
        return {}

    @application.post("/standin/<vm>/pause")
    async def pause(vm: str) -> quart.ResponseReturnValue:
        fleet.engines[vm].paused = trio.Event()
        return {}

    @application.post("/standin/<vm>/resume")
    async def resume(vm: str) -> quart.ResponseReturnValue:
        fleet.engines[vm].paused.set()
        return {}

    @application.get("/standin/log")
    async def log() -> quart.ResponseReturnValue:
        return quart.jsonify(fleet.log)

    return application


async def _run_fleet(settings: FleetSettings) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listening.end_on_signal, nursery.cancel_scope)
        server = FleetServer(settings, nursery)
        for vm in server.fleet.engines:
            server.open(vm)
        await listening.serve(_control_app(server), settings.control_port)


async def _run_fabric(settings: fabric_server.FabricSettings) -> None:
    async with (
        metadata.ItemStore(settings.platform_url) as store,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(listening.end_on_signal, nursery.cancel_scope)
        server = fabric_server.FabricServer(settings, store, nursery)
        await listening.serve(
            fabric_server.control_app(server), settings.control_port
        )


@app.command()
def platform(port: int) -> None:
    """Run the simulated platform.

    :param port: port on loopback.
    """
    trio.run(_run_platform, port)


@app.command()
def fleet(settings: pathlib.Path) -> None:
    """Run the engines of one failure domain.

    :param settings: JSON file with the VMs.
    """
    text = settings.read_bytes()
    trio.run(_run_fleet, model.decode(FleetSettings, text))


@app.command()
def fabric(settings: pathlib.Path) -> None:
    """Run the engines of one failure domain that register themselves.

    :param settings: JSON file with the engines.
    """
    text = settings.read_bytes()
    trio.run(_run_fabric, model.decode(fabric_server.FabricSettings, text))


if __name__ == "__main__":
    app()
