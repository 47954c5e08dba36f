"""Renders docs/CAPACITY.md."""

import pathlib

from wasabilanding.experiments.capacity import readings as readings_module
from wasabilanding.experiments.capacity import requirements
from wasabilanding.experiments.capacity import target as target_module
from wasabilanding import model

DATA = "docs/capacity.json"
PAGE = "docs/CAPACITY.md"
REQUIREMENT_COLUMNS = (
    "role",
    "what",
    "needed",
    "budget",
    "unit",
    "verdict",
    "carried by",
    "from",
)
HEAD = """# Capacity at the size of two years from now

Made by `make capacity`, which measures every slope on one machine and
writes `docs/capacity.json`; the page is rendered from that file. Aim:
{nodes} nodes before {endpoint_vms} engines, {domains} failure domains,
{requests:,} requests and {tokens:,} tokens a second: for each node
{per_node:.0f} requests and {tokens_node:.0f} tokens a second, for each
failure domain {vms:.0f} VMs in {replicas:.0f} replicas.

A small machine's slopes carried far are estimates. The exchange was measured
with 3 failure domains and up to 93 nodes in one process, by direct calls;
the rest with separate processes or single functions. Not measured: 15
failure domains at once, real networks, regions cut off for minutes, and the
loss of a failure domain at this size.
"""


def _number(value: float) -> str:
    return f"{value:,.2f}" if abs(value) < 10 else f"{value:,.0f}"


def _requirement_table(
    table_requirements: tuple[requirements.Requirement, ...],
) -> list[str]:
    rows = [
        "| " + " | ".join(REQUIREMENT_COLUMNS) + " |",
        "| --- " * len(REQUIREMENT_COLUMNS) + "|",
    ]
    for requirement in table_requirements:
        cells = (
            requirement.role,
            requirement.resource,
            _number(requirement.value),
            _number(requirement.budget),
            requirement.unit,
            requirement.verdict,
            requirement.mechanism,
            requirement.basis,
        )
        rows.append("| " + " | ".join(cells) + " |")
    return rows


def _slope_table(measured: readings_module.Measurements) -> list[str]:
    rows = [
        "| measured | by | readings | slope | unit | command |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for value in vars(measured).values():
        if not isinstance(value, readings_module.Slope):
            continue
        readings = ", ".join(
            f"{_number(size)}: {_number(reading)}"
            for size, reading in value.points
        )
        cells = (
            value.name,
            value.size_name,
            readings,
            f"{value.fit[0]:.4g}",
            value.unit,
            f"`{value.command}`",
        )
        rows.append("| " + " | ".join(cells) + " |")
    rows.append("")
    rows.append(
        f"A gRPC call costs {measured.transport_ms:.2f} ms, both ends "
        f"together; a small daemon holds {measured.resident_mb:.0f} MB."
    )
    return rows


def render(root: pathlib.Path) -> str:
    """Return the capacity page as Markdown.

    :param root: root of the repository, where the measurements are read.
    """
    text = (root / DATA).read_bytes()
    measured = model.decode(readings_module.Measurements, text)
    target = target_module.Target()
    head = HEAD.format(
        nodes=target.nodes,
        endpoint_vms=target.endpoint_vms,
        domains=target.failure_domains,
        requests=target.requests_per_s,
        tokens=target.tokens_per_s,
        per_node=target.requests_per_node,
        tokens_node=target.tokens_per_node,
        vms=target.vms_per_domain,
        replicas=target.replicas_per_domain,
    )
    page_requirements = requirements.all_requirements(measured)
    parts = [
        head,
        "## Roles",
        "",
        *_requirement_table(page_requirements),
        "",
        "## Slopes",
        "",
    ]
    return "\n".join([*parts, *_slope_table(measured), ""])
