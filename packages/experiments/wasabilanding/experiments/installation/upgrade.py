"""Replaces gateways one by one by those of another commit, under load.

Explanation
===========

All gateways start with the sources of the earlier commit. Each is stopped by
SIGTERM and started with today's sources, then each is replaced by the earlier
ones again, as in a rollback. The gateways of a failure domain are replaced one
after the other; the failure domains go side by side, which halves the time of
the test. In the middle, where each failure domain has one of both kinds, the
links of the replaced gateways to all endpoints refuse connections for a while,
so that they hand requests to those of the other kind. A plain endpoint names a
limit, so that gateways of one kind ask those of the other for permissions.
"""

import collections.abc
import dataclasses
import pathlib
import random

import trio

from wasabilanding.experiments.installation import callers as callers_module
from wasabilanding.experiments.installation import changes
from wasabilanding.experiments.installation import checks
from wasabilanding.experiments.installation import cut_gateway
from wasabilanding.experiments.installation import cuts
from wasabilanding.experiments.installation import gateway_changes
from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import options as options_module
from wasabilanding.experiments.installation import record as record_module
from wasabilanding.experiments import launcher

OPTIONS = options_module.Options(planned_only=True, callers=12)
# The earlier commit does not know this setting.
SETTINGS = {"admission": True}
CUT_S = 1.0
# Requests between two replacements, and after the last one.
SETTLE_S = 0.3
PLAN = launch.Plan()
# Between the replacements in two failure domains.
APART_S = 0.5
# Requests a second of one plain endpoint.
LIMIT = "8"
NO_VARIABLES: collections.abc.Mapping[str, str] = {}
# Parts of log lines that tell that a node did not understand something, or
# that it has a defect.
BAD_LINES = ("invalid datagram", "invalid part", "invalid document", "Trace")
NOT_ACCEPTED = (cuts.Ending.REFUSED, cuts.Ending.UNREAD)
RELAYED = '"node:'


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of an upgrade and a rollback.

    :param violations: guarantees that were violated.
    :param statuses: HTTP status of each request; 0 for no whole answer. A
        load balancer would not have sent those that a stopped gateway did not
        accept, so they are left out.
    :param bad_lines: log lines of gateways that did not understand something.
    :param relayed: log lines on requests that went to another gateway, in
        the upgrade and in the rollback.
    :param actions: what was done, with the times.
    """

    violations: tuple[str, ...]
    statuses: tuple[int, ...]
    bad_lines: tuple[str, ...]
    relayed: tuple[int, ...]
    actions: tuple[str, ...]


class Upgrade:
    """An upgrade under load, and its rollback.

    :param earlier: variables with which the earlier sources run.
    :param folder: folder for settings and logs.
    :param seed: seed of the random choices.
    """

    def __init__(
        self,
        earlier: collections.abc.Mapping[str, str],
        folder: pathlib.Path,
        seed: int = 1,
    ) -> None:
        rng = random.Random(seed)
        self._earlier = earlier
        self._folder = folder
        self._variables: dict[str, collections.abc.Mapping[str, str]] = {}
        self._installation = launch.Installation(
            PLAN, folder, is_cuttable=True, settings=SETTINGS
        )
        self._installation.environment_of = self._variables_of
        self._relayed: list[int] = []
        self._record = record_module.ChangeRecord()
        self._gateways = gateway_changes.GatewayChanges(
            self._installation, rng, self._record
        )
        self._callers = callers_module.Callers(
            self._installation, rng, OPTIONS, changes.KEYS
        )

    def _variables_of(self, gateway: str) -> collections.abc.Mapping[str, str]:
        return self._variables.get(gateway, self._earlier)

    def run(self) -> Result:
        """Upgrade all gateways, roll them back, and check the guarantees."""
        with self._installation:
            self._installation.wait_until_serving()
            limited = next(
                vm
                for vm in self._installation.vms
                if vm.service == launch.PAGES
            )
            self._installation.set_limit(limited, LIMIT)
            trio.run(self._replace_all_under_load)
            observation = checks.Observation(
                tuple(self._callers.answers),
                tuple(self._installation.runs()),
                tuple(self._installation.engine_violations()),
                planned_only=True,
                excuses=cuts.Excuses(self._record.terminations),
                late_exits=tuple(self._record.late_exits),
            )
        sorter = cuts.Sorter(observation.runs, observation.excuses)
        return Result(
            tuple(checks.find_violations(observation)),
            tuple(
                answer.status if answer.complete else 0
                for answer in self._callers.answers
                if sorter.ending(answer) not in NOT_ACCEPTED
            ),
            tuple(self._lines_with(BAD_LINES)),
            tuple(self._relayed),
            tuple(self._record.actions),
        )

    async def _replace_all_under_load(self) -> None:
        async with trio.open_nursery() as nursery:
            self._callers.start(nursery)
            for variables in (NO_VARIABLES, self._earlier):
                await self._replace_all(variables)
            await trio.sleep(SETTLE_S)
            self._callers.finish()

    async def _replace_all(
        self, variables: collections.abc.Mapping[str, str]
    ) -> None:
        by_domain: dict[str, list[launch.Gateway]] = {}
        for gateway in self._installation.gateways:
            by_domain.setdefault(gateway.failure_domain, []).append(gateway)
        first, second = zip(*by_domain.values(), strict=True)
        # From before their start on, as connections that are open stay so.
        self._cut(first, cut_gateway.REFUSE)
        await self._replace_each(first, variables)
        lines_before = self._count_relayed()
        await trio.sleep(CUT_S)
        self._relayed.append(self._count_relayed() - lines_before)
        self._cut(first, cut_gateway.NONE)
        await self._replace_each(second, variables)

    async def _replace_each(
        self,
        gateways: collections.abc.Iterable[launch.Gateway],
        variables: collections.abc.Mapping[str, str],
    ) -> None:
        """Replace a gateway of each failure domain, a little apart."""
        async with trio.open_nursery() as nursery:
            for gateway in gateways:
                nursery.start_soon(self._replace, gateway, variables)
                await trio.sleep(APART_S)

    async def _replace(
        self,
        gateway: launch.Gateway,
        variables: collections.abc.Mapping[str, str],
    ) -> None:
        self._variables[gateway.name] = variables
        await self._gateways.stop(gateway)
        await trio.to_thread.run_sync(
            launcher.wait_for_http, gateway.ready_url
        )
        self._record.add(f"{gateway.name} is ready")
        await trio.sleep(SETTLE_S)

    def _cut(
        self, gateways: collections.abc.Iterable[launch.Gateway], mode: str
    ) -> None:
        for gateway in gateways:
            self._record.add(f"links of {gateway.name}: {mode or 'whole'}")
            self._installation.cut(gateway, mode)

    def _lines_with(
        self, parts: tuple[str, ...]
    ) -> collections.abc.Iterator[str]:
        """Yield the log lines of gateways that hold one of some texts."""
        for path in sorted(self._folder.glob("*-gateway-*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if any(part in line for part in parts):
                    yield f"{path.stem}: {line}"

    def _count_relayed(self) -> int:
        return sum(1 for _ in self._lines_with((RELAYED,)))
