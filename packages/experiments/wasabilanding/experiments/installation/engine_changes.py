"""Changes of engines: they leave, are killed, or pause and go on."""

import random

import trio

from wasabilanding.experiments.installation import durations
from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import record as record_module

ENGINE_ABSENCE_S = 6.0
# Shorter than the time in which a replica that misses a member breaks.
SILENCE_RANGE_S = (0.8, 2.4)


class EngineChanges:
    """Changes engines through the control interface of their stand-in.

    :param installation: running installation.
    :param rng: source of randomness.
    :param record: record of the changes.
    """

    def __init__(
        self,
        installation: launch.Installation,
        rng: random.Random,
        record: record_module.ChangeRecord,
    ) -> None:
        self._installation = installation
        self._rng = rng
        self._record = record

    async def leave(self, vm: launch.Vm) -> None:
        """Let an engine announce its shutdown, leave and come back.

        :param vm: the engine.
        """
        await self._control(vm, "leave")
        await trio.sleep(ENGINE_ABSENCE_S)
        await self._control(vm, "restart")

    async def kill(self, vm: launch.Vm) -> None:
        """Kill an engine and start it again some time later.

        :param vm: the engine.
        """
        self._record.killed.add(vm.endpoint_id)
        await self._control(vm, "kill")
        await durations.wait(self._rng, durations.FAULT_DURATION_RANGE_S)
        await self._control(vm, "restart")

    async def pause(self, vm: launch.Vm) -> None:
        """Stop an engine and its registration and let them go on.

        :param vm: the engine.
        """
        await self._control(vm, "pause")
        await durations.wait(self._rng, durations.FAULT_DURATION_RANGE_S)
        await self._control(vm, "resume")

    async def stall(self, vm: launch.Vm) -> None:
        """Let an engine make no progress for a while; it stays registered.

        :param vm: the engine.
        """
        await self._control(vm, "stall")
        await durations.wait(self._rng, SILENCE_RANGE_S)
        await self._control(vm, "resume")

    async def stall_all(self) -> None:
        """Let all engines make no progress at the same time."""
        silence_s = self._rng.uniform(*SILENCE_RANGE_S)
        vms = self._installation.vms
        self._record.add(f"all engines make no progress for {silence_s:.2f} s")
        with trio.CancelScope(shield=True):
            for vm in vms:
                await self._send(vm, "stall")
            await trio.sleep(silence_s)
            for vm in vms:
                await self._send(vm, "resume")
        self._record.add("all engines go on")

    async def _control(self, vm: launch.Vm, action: str) -> None:
        self._record.add(f"{action} {vm.endpoint_id}")
        await self._send(vm, action)

    async def _send(self, vm: launch.Vm, action: str) -> None:
        await trio.to_thread.run_sync(
            self._installation.control_vm, vm, action
        )
