"""Steps for gateways whose links to all endpoints are cut."""

import collections
import time

import behave
import trio

from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation.tests import running

PLAN = launch.Plan(pages_per_domain=3)
BEFORE_CUT_S = 4.0
AFTER_CUT_S = 6.0
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


class _Load(running.Load):
    """Requests of all kinds at all gateways, some of which are cut."""

    def __init__(self, installation):
        super().__init__(installation)
        self.cut_at = 0.0
        self.ended_at = 0.0

    async def cut(self, gateways, mode, seconds):
        """Send requests before, during and after a cut."""
        async with self.running():
            await trio.sleep(BEFORE_CUT_S)
            self.cut_at = time.time()
            for gateway in gateways:
                self.installation.cut(gateway, mode)
            await trio.sleep(seconds)
            for gateway in gateways:
                self.installation.cut(gateway, "")
            self.ended_at = time.time()
            await trio.sleep(AFTER_CUT_S)


@behave.given("an installation whose gateways can be cut from the endpoints")
def given_installation(context):
    """Start an installation; it ends with the scenario."""
    running.start(context, PLAN, is_cuttable=True)


@behave.when(
    "the links of {names} {mode:w} for {seconds:d} s beside requests of all "
    "kinds at all gateways"
)
def cut(context, names, mode, seconds):
    """Cut gateways while requests are sent."""
    wanted = {
        "-gateway-".join(name.strip().rsplit("-", 1))
        for name in names.split(",")
    }
    chosen = [g for g in context.installation.gateways if g.name in wanted]
    assert len(chosen) == len(wanted), wanted
    context.cut = wanted
    context.load = _Load(context.installation)
    trio.run(context.load.cut, chosen, mode, seconds)
    context.runs = context.installation.runs()


def _statuses(tries):
    return collections.Counter((found.kind, found.status) for found in tries)


def _check_share(tries, share):
    assert tries, "no first try"
    served = sum(found.status == HTTP_OK for found in tries)
    assert served >= share * len(tries), (
        f"{served} of {len(tries)} served: {_statuses(tries)}"
    )


def _tries_during_cut(context, bound_s):
    load = context.load
    since = load.cut_at + bound_s
    return [t for t in load.tries if since < t.at < load.ended_at]


@behave.then(
    "from {bound:g} s after the cut at least {share:g} of the first tries at "
    "the cut gateways are served"
)
def check_cut(context, bound, share):
    """Compare the share that is served at the cut gateways."""
    context.bound_s = bound
    tries = _tries_during_cut(context, bound)
    _check_share([t for t in tries if t.gateway in context.cut], share)


@behave.then(
    "at least {share:g} of the first tries at the other gateways are served"
)
def check_others(context, share):
    """Compare the share that is served at the other gateways."""
    tries = _tries_during_cut(context, context.bound_s)
    _check_share([t for t in tries if t.gateway not in context.cut], share)


@behave.then(
    "from {bound:g} s after the cut each request is answered within {most:g} s"
)
def check_answered(context, bound, most):
    """Compare how long callers wait for a rejection."""
    since = context.load.cut_at + bound
    until = context.load.ended_at
    slow = [
        t
        for t in context.load.tries
        if since < t.at < until and (t.took_s > most or not t.status)
    ]
    assert not slow, slow


@behave.then(
    "from {bound:g} s after the end of the cut at least {share:g} of the "
    "first tries are served"
)
def check_recovery(context, bound, share):
    """Compare the share that is served after the cut."""
    since = context.load.ended_at + bound
    _check_share([t for t in context.load.tries if t.at > since], share)


def _runs_by_request(context):
    return collections.Counter(run["request_id"] for run in context.runs)


@behave.then("no request that must not be repeated runs twice")
def check_once(context):
    """Check the requests of the route that is not idempotent."""
    twice = [
        request_id
        for request_id, count in _runs_by_request(context).items()
        if count > 1 and request_id.startswith("sheets")
    ]
    assert not twice, twice


@behave.then('no request that is told "not run" has run')
def check_not_run(context):
    """Check the requests that got 503."""
    runs = _runs_by_request(context)
    wrong = [
        t
        for t in context.load.tries
        if t.status == HTTP_UNAVAILABLE and runs[t.request_id]
    ]
    assert not wrong, wrong
