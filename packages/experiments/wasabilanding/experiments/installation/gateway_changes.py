"""Signals to gateways, alone, in series and overlapping."""

import random
import signal

import trio

from wasabilanding.experiments.installation import cut_gateway
from wasabilanding.experiments.installation import durations
from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import record as record_module

STOP_TIMEOUT_S = launch.SHUTDOWN_GRACE_S + 2.0
# From the signal to some time after the listener has closed.
DRAIN_DELAY_RANGE_S = (0.1, 4.0)
RESTARTED_DELAY_RANGE_S = (0.0, 1.5)


class GatewayChanges:
    """Stops, reloads, kills and suspends gateways.

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

    async def stop(self, gateway: launch.Gateway) -> None:
        """Terminate a gateway and start it again.

        :param gateway: the gateway.
        """
        self._terminate(gateway)
        await self._restart_after_exit(gateway)

    async def reload(self, gateway: launch.Gateway) -> None:
        """Let a gateway read its settings again.

        :param gateway: the gateway.
        """
        self._record.add(f"SIGHUP {gateway.name}")
        gateway.process.send_signal(signal.SIGHUP)

    async def stop_and_reload(self, gateway: launch.Gateway) -> None:
        """Reload a gateway while it drains.

        :param gateway: the gateway.
        """
        self._terminate(gateway)
        await durations.wait(self._rng, DRAIN_DELAY_RANGE_S)
        await self.reload(gateway)
        await self._restart_after_exit(gateway)

    async def stop_with_two_signals(self, gateway: launch.Gateway) -> None:
        """Terminate a gateway again while it drains.

        :param gateway: the gateway.
        """
        self._terminate(gateway)
        await durations.wait(self._rng, DRAIN_DELAY_RANGE_S)
        self._record.add(f"second SIGTERM {gateway.name}")
        gateway.process.terminate()
        await self._restart_after_exit(gateway)

    async def stop_twice(self, gateway: launch.Gateway) -> None:
        """Terminate a gateway again as soon as it has been restarted.

        :param gateway: the gateway.
        """
        await self.stop(gateway)
        await durations.wait(self._rng, RESTARTED_DELAY_RANGE_S)
        await self.stop(gateway)

    async def kill(self, gateway: launch.Gateway) -> None:
        """Kill a gateway and start it again some time later.

        :param gateway: the gateway.
        """
        self._record.add_gateway_kill(gateway.name)
        gateway.process.kill()
        await self._wait_for_exit(gateway)
        await durations.wait(self._rng, durations.FAULT_DURATION_RANGE_S)
        await self._start(gateway)

    async def suspend(self, gateway: launch.Gateway) -> None:
        """Stop the processes of a gateway and let them go on.

        :param gateway: the gateway.
        """
        self._record.add(f"SIGSTOP {gateway.name}")
        gateway.process.send_signal(signal.SIGSTOP)
        await durations.wait(self._rng, durations.FAULT_DURATION_RANGE_S)
        gateway.process.send_signal(signal.SIGCONT)

    async def cut_off(self, gateway: launch.Gateway) -> None:
        """Cut a gateway off from all endpoints for a while.

        :param gateway: the gateway.
        """
        mode = self._rng.choice(cut_gateway.MODES)
        self._record.add(f"{gateway.name} reaches no endpoint: {mode}")
        self._installation.cut(gateway, mode)
        await durations.wait(self._rng, durations.FAULT_DURATION_RANGE_S)
        self._installation.cut(gateway, cut_gateway.NONE)

    def _terminate(self, gateway: launch.Gateway) -> None:
        self._record.add_termination(gateway.name)
        gateway.process.terminate()

    async def _wait_for_exit(self, gateway: launch.Gateway) -> None:
        while gateway.process.poll() is None:
            await trio.sleep(launch.POLL_S)

    async def _start(self, gateway: launch.Gateway) -> None:
        self._record.add(f"restart {gateway.name}")
        with trio.CancelScope(shield=True):
            await trio.to_thread.run_sync(self._installation.restart, gateway)

    async def _restart_after_exit(self, gateway: launch.Gateway) -> None:
        with trio.move_on_after(STOP_TIMEOUT_S) as scope:
            await self._wait_for_exit(gateway)
        if scope.cancelled_caught:
            self._record.add_late_exit(gateway.name)
            self._record.add_gateway_kill(gateway.name)
            gateway.process.kill()
            await self._wait_for_exit(gateway)
        await self._start(gateway)
