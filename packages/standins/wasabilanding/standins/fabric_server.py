"""Server with the engines of a fabric and a control interface for faults."""

import dataclasses

import quart
import quart_trio
import trio

from wasabilanding import metadata
from wasabilanding.standins import listening
from wasabilanding.standins import registered_engine
from wasabilanding.standins import registered_engine_http


@dataclasses.dataclass(frozen=True)
class RegisteredVm:
    """An engine that registers itself.

    :param endpoint_id: ID of the engine.
    :param service: service that it belongs to.
    :param port: port of its listener.
    :param fabric_domain: fabric domain; empty for a plain endpoint.
    :param registered_port: port that it registers if a proxy is in front of
        its listener; 0 to register ``port``.
    """

    endpoint_id: str
    service: str
    port: int
    fabric_domain: str = ""
    registered_port: int = 0


@dataclasses.dataclass(frozen=True)
class FabricSettings:
    """Settings of the self-registering engines of one failure domain.

    :param platform_url: base URL of the platform.
    :param failure_domain: name of the failure domain.
    :param control_port: port of the control interface.
    :param vms: the engines.
    :param behaviour: capacity and timing of the engines.
    """

    platform_url: str
    failure_domain: str
    control_port: int
    vms: tuple[RegisteredVm, ...]
    behaviour: registered_engine.RegisteredSettings = (
        registered_engine.RegisteredSettings()
    )


class FabricServer:
    """Listeners and registrations of the engines of one failure domain.

    :param settings: settings of the engines.
    :param store: item store of the platform.
    :param nursery: runs the listeners and registrations.
    """

    def __init__(
        self,
        settings: FabricSettings,
        store: metadata.ItemStore,
        nursery: trio.Nursery,
    ) -> None:
        self._listeners = listening.Listeners(nursery)
        self._ports = {vm.endpoint_id: vm.port for vm in settings.vms}
        self.fabric = registered_engine.Fabric(
            settings.failure_domain, settings.behaviour, nursery
        )
        for vm in settings.vms:
            engine = self.fabric.add(
                vm.endpoint_id, vm.service, vm.fabric_domain
            )
            nursery.start_soon(
                registered_engine_http.keep_registered,
                engine,
                store,
                listening.HOST,
                vm.registered_port or vm.port,
            )
            self.open(vm.endpoint_id)

    def open(self, endpoint_id: str) -> None:
        """Open the listener of an engine.

        :param endpoint_id: ID of the engine.
        """
        engine = self.fabric.engines[endpoint_id]
        application = registered_engine_http.registered_app(
            engine, self.fabric, self.crash
        )
        port = self._ports[endpoint_id]
        self._listeners.open(endpoint_id, application, port)

    def kill(self, endpoint_id: str) -> None:
        """Stop an engine, break its connections and let its lease expire.

        :param endpoint_id: ID of the engine.
        """
        self.fabric.engines[endpoint_id].kill()
        self._listeners.close(endpoint_id)

    def restart(self, endpoint_id: str) -> None:
        """Start an engine again that was stopped.

        :param endpoint_id: ID of the engine.
        """
        if not self.fabric.engines[endpoint_id].alive:
            self.fabric.engines[endpoint_id].restart()
            self.open(endpoint_id)

    def crash(self, endpoint_id: str) -> None:
        """Stop an engine and start it again later.

        :param endpoint_id: ID of the engine.
        """
        self.kill(endpoint_id)
        self.fabric.start(self._restart_later, endpoint_id)

    async def _restart_later(self, endpoint_id: str) -> None:
        await trio.sleep(self.fabric.settings.restart_after_s)
        self.restart(endpoint_id)

    async def leave(self, endpoint_id: str) -> None:
        """Announce the shutdown of an engine, drain it, then stop it.

        :param endpoint_id: ID of the engine.
        """
        engine = self.fabric.engines[endpoint_id]
        engine.draining = True
        engine.announces_leaving = True
        engine.notify()
        life = engine.life
        await trio.sleep(self.fabric.settings.drain_s)
        while engine.in_flight and engine.life == life:
            await trio.sleep(registered_engine.CHECK_INTERVAL_S)
        if engine.life == life:
            self.kill(endpoint_id)


def control_app(server: FabricServer) -> quart_trio.QuartTrio:
    """Return the application that injects faults and lists the runs.

    :param server: server of the engines.
    """
    application = quart_trio.QuartTrio("fabric-control")
    fabric = server.fabric

    @application.post("/standin/<vm>/kill")
    async def kill(vm: str) -> quart.ResponseReturnValue:
        server.kill(vm)
        return {}

    @application.post("/standin/<vm>/restart")
    async def restart(vm: str) -> quart.ResponseReturnValue:
        server.restart(vm)
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

    @application.post("/standin/<vm>/stall")
    async def stall(vm: str) -> quart.ResponseReturnValue:
        fabric.engines[vm].stalled = True
        return {}

    @application.post("/standin/<vm>/resume")
    async def resume(vm: str) -> quart.ResponseReturnValue:
        fabric.engines[vm].stalled = False
        fabric.engines[vm].paused = False
        fabric.engines[vm].notify()
        return {}

    @application.post("/standin/<vm>/announce")
    async def announce(vm: str) -> quart.ResponseReturnValue:
        fabric.engines[vm].announces_leaving = True
        return {}

    @application.post("/standin/<vm>/refuse")
    async def refuse(vm: str) -> quart.ResponseReturnValue:
        fabric.engines[vm].retry_after = quart.request.args["retry_after"]
        return {}

    @application.post("/standin/<vm>/accept")
    async def accept(vm: str) -> quart.ResponseReturnValue:
        fabric.engines[vm].retry_after = ""
        return {}

    @application.post("/standin/<vm>/limit")
    async def limit(vm: str) -> quart.ResponseReturnValue:
        fabric.engines[vm].limit = quart.request.args["limit"]
        return {}

    @application.post("/standin/<vm>/cold")
    async def cold(vm: str) -> quart.ResponseReturnValue:
        seconds = float(quart.request.args["seconds"])
        fabric.engines[vm].cold.begin(trio.current_time(), seconds)
        fabric.engines[vm].notify()
        return {}

    @application.get("/standin/arrivals")
    async def arrivals() -> quart.ResponseReturnValue:
        now = trio.current_time()
        return quart.jsonify(
            [
                {**dataclasses.asdict(arrival), "age_s": now - arrival.at}
                for arrival in fabric.arrivals
            ]
        )

    @application.get("/standin/runs")
    async def runs() -> quart.ResponseReturnValue:
        return quart.jsonify([dataclasses.asdict(r) for r in fabric.runs])

    @application.get("/standin/violations")
    async def violations() -> quart.ResponseReturnValue:
        return quart.jsonify(fabric.violations)

    return application
