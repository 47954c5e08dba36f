"""Command ``wasabilanding status``."""

import typer

from wasabilanding.command import api_client
from wasabilanding.command import output


def status(context: typer.Context, as_json: output.JsonOption = False) -> None:
    """Show failure domains, entry VMs, replicas and VMs."""
    with api_client.administration_client(context) as client:
        found = client.status()
    if as_json:
        output.print_json(found)
        return
    _print_domains(found)
    _print_nodes(found)
    _print_replicas(found)
    _print_vms(found)


def _print_domains(found: dict) -> None:
    columns = (
        "failure domain",
        "wanted",
        "serving",
        "accelerators",
        "stranded",
        "fence",
    )
    rows = [
        (
            name,
            domain["wanted"],
            domain["serving"],
            domain["accelerators"],
            domain["stranded"],
            domain["fence"],
        )
        for name, domain in found["failure_domains"].items()
    ]
    title = (
        f"configuration revision {found['configuration_revision']}, "
        f"as {found['node']} sees it"
    )
    output.print_table(title, columns, rows)


def _print_nodes(found: dict) -> None:
    rows = [
        (node["name"], node["failure_domain"], node["address"])
        for node in found["nodes"]
    ]
    columns = ("entry VM", "failure domain", "address")
    output.print_table("entry VMs", columns, rows)


def _print_replicas(found: dict) -> None:
    columns = ("replica", "service", "profile", "state", "serving", "VMs")
    rows = [
        (
            replica["replica_id"],
            replica["service"],
            f"{replica['profile']} r{replica['profile_revision']}",
            replica["state"],
            "yes" if replica["serving"] else "no",
            " ".join(replica["members"]),
        )
        for domain in found["failure_domains"].values()
        for replica in domain["replicas"]
    ]
    output.print_table("replicas", columns, rows)


def _print_vms(found: dict) -> None:
    columns = ("VM", "fabric domain", "state", "replica", "report age s")
    rows = [
        (
            vm["vm"],
            vm["fabric_domain"],
            "leaving" if vm["leaving"] else vm["state"],
            vm["replica_id"],
            "none" if vm["report_age_s"] is None else vm["report_age_s"],
        )
        for domain in found["failure_domains"].values()
        for vm in domain["vms"]
    ]
    output.print_table("VMs", columns, rows)
