"""Process of the stand-ins: the platform, or one failure domain's VMs.

Explanation
===========

``python -m wasabilanding.standins.main platform --port N`` runs the platform
and ``... fleet --settings FILE`` the engines of one failure domain, one port
each, with a port for faults.
"""

import dataclasses
import functools
import pathlib
import signal

import httpx
import hypercorn.config
import hypercorn.trio
import quart
import quart_trio
import trio
import typer

from wasabilanding import metadata
from wasabilanding import model
from wasabilanding.standins import engine as engine_module
from wasabilanding.standins import engine_http
from wasabilanding.standins import platform_http
from wasabilanding.standins import registered
from wasabilanding.standins import registered_http
from wasabilanding.standins import store

HOST = "127.0.0.1"
NO_LIMIT_S = 86_400.0

app = typer.Typer()


@dataclasses.dataclass(frozen=True)
class FleetVm:
    """A VM of the fleet.

    :param vm: the VM as the platform lists it.
    :param port: port of its engine.
    :param settings: how its engine behaves.
    """

    vm: model.Vm
    port: int
    settings: engine_module.EngineSettings = engine_module.EngineSettings()


@dataclasses.dataclass(frozen=True)
class FleetSettings:
    """The VMs of one failure domain.

    :param platform_url: base URL of the platform.
    :param control_port: port for faults.
    :param vms: the VMs.
    """

    platform_url: str
    control_port: int
    vms: tuple[FleetVm, ...]


def _config(port: int) -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.bind = [f"{HOST}:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = NO_LIMIT_S
    return config


async def _serve(application: quart_trio.QuartTrio, port: int) -> None:
    await hypercorn.trio.serve(
        application, _config(port), shutdown_trigger=trio.sleep_forever
    )


async def _end_on_signal(scope: trio.CancelScope) -> None:
    signals = (signal.SIGTERM, signal.SIGINT)
    with trio.open_signal_receiver(*signals) as received:
        async for _ in received:
            scope.cancel()
            return


async def _run_platform(port: int) -> None:
    state = platform_http.PlatformState(store.Store())
    application = platform_http.platform_app(state)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_end_on_signal, nursery.cancel_scope)
        nursery.start_soon(_serve, application, port)


class FleetServer:
    """Listeners of the engines of one failure domain.

    :param settings: the VMs.
    :param nursery: runs the listeners.
    """

    def __init__(self, settings: FleetSettings, nursery: trio.Nursery) -> None:
        self._ports = {vm.vm.vm: vm.port for vm in settings.vms}
        self._nursery = nursery
        self._scopes: dict[str, trio.CancelScope] = {}
        fetch = functools.partial(_fetch_weights, settings.platform_url)
        self.fleet = engine_module.Fleet(nursery, fetch)
        self.fleet.on_kill = self._close
        for vm in settings.vms:
            self.fleet.add(vm.vm.vm, vm.settings)

    def open(self, vm: str) -> None:
        """Listen for a VM.

        :param vm: identity of the VM.
        """
        self._nursery.start_soon(self._listen, vm)

    async def _listen(self, vm: str) -> None:
        application = engine_http.engine_app(self.fleet.engines[vm])
        with trio.CancelScope() as scope:
            self._scopes[vm] = scope
            await _serve(application, self._ports[vm])

    def _close(self, vm: str) -> None:
        self._scopes[vm].cancel()


async def _fetch_weights(url: str, wanted: str) -> None:
    async with httpx.AsyncClient(timeout=NO_LIMIT_S) as http:
        await http.get(f"{url}/v1/weights/{wanted}")


@dataclasses.dataclass(frozen=True)
class RegisteredVm:
    """An engine that registers itself.

    :param endpoint_id: its identity.
    :param service: service that it belongs to.
    :param port: port of its listener.
    :param fabric_domain: fabric domain; empty for a plain endpoint.
    :param registered_port: port that it registers, where something stands
        before its listener; 0 for none.
    """

    endpoint_id: str
    service: str
    port: int
    fabric_domain: str = ""
    registered_port: int = 0


@dataclasses.dataclass(frozen=True)
class FabricSettings:
    """The engines of one failure domain that register themselves.

    :param platform_url: base URL of the platform.
    :param failure_domain: the failure domain.
    :param control_port: port for faults.
    :param vms: the engines.
    :param behaviour: how they behave.
    """

    platform_url: str
    failure_domain: str
    control_port: int
    vms: tuple[RegisteredVm, ...]
    behaviour: registered.RegisteredSettings = registered.RegisteredSettings()


class FabricServer:
    """Listeners and registrations of the engines of one failure domain.

    :param settings: the engines.
    :param store: the platform's items.
    :param nursery: runs them.
    """

    def __init__(
        self,
        settings: FabricSettings,
        store: metadata.ItemStore,
        nursery: trio.Nursery,
    ) -> None:
        self._nursery = nursery
        self._ports = {vm.endpoint_id: vm.port for vm in settings.vms}
        self._scopes: dict[str, trio.CancelScope] = {}
        self.fabric = registered.Fabric(
            settings.failure_domain, settings.behaviour, nursery
        )
        for vm in settings.vms:
            engine = self.fabric.add(
                vm.endpoint_id, vm.service, vm.fabric_domain
            )
            nursery.start_soon(
                registered_http.keep_registered,
                engine,
                store,
                HOST,
                vm.registered_port or vm.port,
            )
            self.open(vm.endpoint_id)

    def open(self, endpoint_id: str) -> None:
        """Listen for an engine.

        :param endpoint_id: its identity.
        """
        self._nursery.start_soon(self._listen, endpoint_id)

    async def _listen(self, endpoint_id: str) -> None:
        engine = self.fabric.engines[endpoint_id]
        application = registered_http.registered_app(engine, self.fabric)
        with trio.CancelScope() as scope:
            self._scopes[endpoint_id] = scope
            await _serve(application, self._ports[endpoint_id])

    def kill(self, endpoint_id: str) -> None:
        """End an engine: its connections break, its registration lapses.

        :param endpoint_id: its identity.
        """
        self.fabric.engines[endpoint_id].kill()
        self._scopes[endpoint_id].cancel()

    async def leave(self, endpoint_id: str) -> None:
        """Let an engine announce that it leaves, serve on, and end.

        :param endpoint_id: its identity.
        """
        engine = self.fabric.engines[endpoint_id]
        engine.draining = True
        engine.notify()
        life = engine.life
        await trio.sleep(self.fabric.settings.drain_s)
        while engine.in_flight and engine.life == life:
            await trio.sleep(registered.CHECK_S)
        if engine.life == life:
            self.kill(endpoint_id)


def _fabric_control_app(server: FabricServer) -> quart_trio.QuartTrio:
    application = quart_trio.QuartTrio("fabric-control")
    fabric = server.fabric

    @application.post("/standin/<vm>/kill")
    async def kill(vm: str) -> quart.ResponseReturnValue:
        server.kill(vm)
        return {}

    @application.post("/standin/<vm>/restart")
    async def restart(vm: str) -> quart.ResponseReturnValue:
        if not fabric.engines[vm].alive:
            fabric.engines[vm].restart()
            server.open(vm)
        return {}

    @application.post("/standin/<vm>/leave")
    async def leave(vm: str) -> quart.ResponseReturnValue:
        fabric.start(server.leave, vm)
        return {}

    @application.post("/standin/<vm>/pause")
    async def pause(vm: str) -> quart.ResponseReturnValue:
        fabric.engines[vm].paused = True
        fabric.engines[vm].notify()
        return {}

    @application.post("/standin/<vm>/resume")
    async def resume(vm: str) -> quart.ResponseReturnValue:
        fabric.engines[vm].paused = False
        fabric.engines[vm].notify()
        return {}

    @application.get("/standin/runs")
    async def runs() -> quart.ResponseReturnValue:
        return quart.jsonify([dataclasses.asdict(r) for r in fabric.runs])

    @application.get("/standin/violations")
    async def violations() -> quart.ResponseReturnValue:
        return quart.jsonify(fabric.violations)

    return application


async def _run_fabric(settings: FabricSettings) -> None:
    async with (
        metadata.ItemStore(settings.platform_url) as store,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(_end_on_signal, nursery.cancel_scope)
        server = FabricServer(settings, store, nursery)
        await _serve(_fabric_control_app(server), settings.control_port)


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
        nursery.start_soon(_end_on_signal, nursery.cancel_scope)
        server = FleetServer(settings, nursery)
        for vm in server.fleet.engines:
            server.open(vm)
        await _serve(_control_app(server), settings.control_port)


@app.command()
def platform(port: int) -> None:
    """Run the platform stand-in.

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
    """Run engines that register themselves, of one failure domain.

    :param settings: JSON file with the engines.
    """
    text = settings.read_bytes()
    trio.run(_run_fabric, model.decode(FabricSettings, text))


if __name__ == "__main__":
    app()
