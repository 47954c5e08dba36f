"""The page docs/CAPACITY.md."""

import pathlib

from wasabilanding.experiments.capacity import lines
from wasabilanding.experiments.capacity import measured as measured_module
from wasabilanding.experiments.capacity import target as target_module
from wasabilanding import model

DATA = "docs/capacity.json"
PAGE = "docs/CAPACITY.md"
LINE_COLUMNS = (
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
{nodes} nodes before {engines} engines, {domains} failure domains,
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


def _line_table(found: tuple[lines.Line, ...]) -> list[str]:
    rows = [
        "| " + " | ".join(LINE_COLUMNS) + " |",
        "| --- " * len(LINE_COLUMNS) + "|",
    ]
    for line in found:
        cells = (
            line.role,
            line.what,
            _number(line.value),
            _number(line.budget),
            line.unit,
            line.verdict,
            line.mechanism,
            line.basis,
        )
        rows.append("| " + " | ".join(cells) + " |")
    return rows


def _slope_table(measured: measured_module.Measured) -> list[str]:
    rows = [
        "| measured | by | readings | slope | unit | command |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for value in vars(measured).values():
        if not isinstance(value, measured_module.Slope):
            continue
        readings = ", ".join(
            f"{_number(size)}: {_number(reading)}"
            for size, reading in value.points
        )
        cells = (
            value.name,
            value.size_name,
            readings,
            f"{value.line[0]:.4g}",
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
    """Return the text of the page.

    :param root: root of the repository, with the measured slopes.
    """
    text = (root / DATA).read_bytes()
    measured = model.decode(measured_module.Measured, text)
    aim = target_module.Target()
    head = HEAD.format(
        nodes=aim.nodes,
        engines=aim.engines,
        domains=aim.failure_domains,
        requests=aim.requests_per_s,
        tokens=aim.tokens_per_s,
        per_node=aim.requests_per_node,
        tokens_node=aim.tokens_per_node,
        vms=aim.vms_per_domain,
        replicas=aim.replicas_per_domain,
    )
    found = lines.capacity_lines(measured)
    parts = [head, "## Roles", "", *_line_table(found), "", "## Slopes", ""]
    return "\n".join([*parts, *_slope_table(measured), ""])
