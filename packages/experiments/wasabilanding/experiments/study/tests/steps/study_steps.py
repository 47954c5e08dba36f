"""Steps for experiments."""

import dataclasses
import json
import pathlib

import behave
import typer.testing

from wasabilanding.command import main
from wasabilanding.experiments import study
from wasabilanding import model

FOLDER = pathlib.Path("docs/experiments")
WARMUP_S = 8.0


def _read(name):
    return study.load_experiment(FOLDER / f"{name}.json")


def _shortened(name, seconds, **overrides):
    experiment = _read(name)
    faults = tuple(f for f in experiment.faults if f.at_s <= seconds)
    return dataclasses.replace(
        experiment,
        duration_s=float(seconds),
        warmup_s=min(WARMUP_S, seconds / 2),
        faults=faults,
        **overrides,
    )


def _one_domain(name, seconds, **overrides):
    """Return an experiment in one of three domains with its load."""
    experiment = _shortened(name, seconds, **overrides)
    system = dataclasses.replace(
        experiment.system,
        failure_domains=experiment.system.failure_domains[:1],
    )
    customers = tuple(
        dataclasses.replace(c, rate_per_s=c.rate_per_s / 3)
        for c in experiment.load.customers
    )
    load = dataclasses.replace(experiment.load, customers=customers)
    return dataclasses.replace(experiment, system=system, load=load)


@behave.when(
    "experiment {name} runs for {seconds:d} s twice and with another seed"
)
def run_thrice(context, name, seconds):
    """Run an experiment twice with one seed and once with another."""
    context.encoded_results = [
        model.encode(study.run_experiment(_shortened(name, seconds, seed=s)))
        for s in (5, 5, 6)
    ]


@behave.then("the first two results are equal and the third is not")
def check_equal(context):
    """Compare the results, ignoring the recorded seed."""
    first, second, third = context.encoded_results
    assert first == second
    assert first.replace('"seed":5', "") != third.replace('"seed":6', "")


@behave.when("experiment {name} is read with {path} as {value}")
def read_changed(context, name, path, value):
    """Read an experiment with one value changed."""
    document = json.loads((FOLDER / f"{name}.json").read_text())
    *parents, last = path.split(".")
    node = document
    for part in parents:
        node = node[int(part) if part.isdecimal() else part]
    node[last] = json.loads(value)
    context.error = ""
    try:
        model.decode(study.Experiment, json.dumps(document))
    except model.InvalidDocument as error:
        context.error = str(error)


@behave.then("the error contains {text}")
def check_error(context, text):
    """Check the error message."""
    assert text in context.error, context.error


@behave.then("all files of docs/experiments are read without an error")
def check_files(context):
    """Read all experiments."""
    paths = sorted(FOLDER.glob("*.json"))
    assert len(paths) > 5
    for path in paths:
        assert study.load_experiment(path).name == path.stem


@behave.when(
    "experiments {one} and {other} run in all failure domains for "
    "{seconds:d} s"
)
def run_two_in_all_domains(context, one, other, seconds):
    """Run two experiments in all failure domains."""
    context.first = study.run_experiment(_shortened(one, seconds))
    context.second = study.run_experiment(_shortened(other, seconds))


@behave.when(
    "experiments {one} and {other} run in one failure domain for {seconds:d} s"
)
def run_two_in_one_domain(context, one, other, seconds):
    """Run two experiments in one of three failure domains."""
    context.first = study.run_experiment(_one_domain(one, seconds))
    context.second = study.run_experiment(_one_domain(other, seconds))


@behave.then(
    "the median and the 95th percentile of each small customer's answers "
    "grow by at most {factor:g}"
)
def check_latency(context, factor):
    """Check the latencies of the small customers."""
    for name, before_results in context.first.customers.items():
        after_results = context.second.customers[name]
        for field in ("p50_s", "p95_s"):
            before = getattr(before_results.total, field)
            after = getattr(after_results.total, field)
            assert after <= factor * before, (name, field, before, after)


@behave.then("no request of a small customer is refused")
def check_completed(context):
    """Check that all requests of small customers completed."""
    for name in context.first.customers:
        customer = context.second.customers[name]
        assert customer.completed == customer.requests, (
            name,
            customer.outcomes,
        )


@behave.then("goodput of the second is at least {share:g} of the first")
def check_goodput(context, share):
    """Compare the goodput."""
    first = context.first.goodput_tokens_per_s
    second = context.second.goodput_tokens_per_s
    assert second >= share * first, (first, second)


@behave.then(
    "at most {share:g} of the second's requests are cut at their deadline"
)
def check_cut(context, share):
    """Check the share of requests cut at their deadline."""
    found = context.second.overall
    cut = found.outcomes.get(model.Reason.DEADLINE.value, 0)
    assert cut <= share * found.requests, found.outcomes


@behave.then("half of the second's refusals are sent within {seconds:g} s")
def check_refusals(context, seconds):
    """Check the median time to a refusal."""
    found = context.second.overall.refusal
    assert found.count > 0
    assert found.p50_s <= seconds, found.p50_s


@behave.when("each policy runs {name} in one failure domain for {seconds:d} s")
def run_policies(context, name, seconds):
    """Run an experiment under each routing policy."""
    context.by_policy = {}
    for routing in ("cost", "least_loaded", "random", "two_choices"):
        experiment = _one_domain(name, seconds)
        policies = dataclasses.replace(experiment.policies, routing=routing)
        context.by_policy[routing] = study.run_experiment(
            dataclasses.replace(experiment, policies=policies)
        )


@behave.then(
    'policy "{policy}" has the lowest time to the first token and the most '
    "cache hits"
)
def check_policies(context, policy):
    """Compare the policies."""
    best = context.by_policy.pop(policy)
    for name, policy_results in context.by_policy.items():
        for field in ("p50_s", "p95_s", "p99_s"):
            best_latency = getattr(best.overall.first_token, field)
            other_latency = getattr(policy_results.overall.first_token, field)
            assert best_latency < other_latency, (
                name,
                field,
                best_latency,
                other_latency,
            )
        assert best.cache_hit_share > policy_results.cache_hit_share, name


@behave.when("the experiment command runs: {command}")
def run_command(context, command):
    """Run the command in the current process."""
    parts = [part.format(**context.files) for part in command.split()]
    runner = typer.testing.CliRunner()
    context.result = runner.invoke(main.application, ["experiment", *parts])


@behave.then("the command exits with {code:d} and prints {text}")
def check_command(context, code, text):
    """Check the exit code and the output."""
    shown = context.result.output + str(context.result.exception)
    assert context.result.exit_code == code, shown
    assert text in shown, shown
