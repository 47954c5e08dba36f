"""Command ``wasabilanding status``."""

import typer

from wasabilanding.command import api_client
from wasabilanding.command import output


def status(context: typer.Context, as_json: output.JsonOption = False) -> None:
    """Show failure domains, entry VMs, replicas and VMs."""
    with api_client.administration_client(context) as client:
        system_status = client.status()
    if as_json:
        output.print_json(system_status)
        return
    _print_domains(system_status)
    _print_nodes(system_status)
    _print_replicas(system_status)
    _print_vms(system_status)


def _print_domains(system_status: dict) -> None:
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
        for name, domain in system_status["failure_domains"].items()
    ]
    title = (
        f"configuration revision {system_status['configuration_revision']}, "
        f"as seen by {system_status['node']}"
    )
    output.print_table(title, columns, rows)


def _print_nodes(system_status: dict) -> None:
    rows = [
        (node["name"], node["failure_domain"], node["address"])
        for node in system_status["nodes"]
    ]
    columns = ("entry VM", "failure domain", "address")
    output.print_table("entry VMs", columns, rows)


def _print_replicas(system_status: dict) -> None:
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
        for domain in system_status["failure_domains"].values()
        for replica in domain["replicas"]
    ]
    output.print_table("replicas", columns, rows)


def _print_vms(system_status: dict) -> None:
    columns = ("VM", "fabric domain", "state", "replica", "report age (s)")
    rows = [
        (
            vm["vm"],
            vm["fabric_domain"],
            "leaving" if vm["leaving"] else vm["state"],
            vm["replica_id"],
            "none" if vm["report_age_s"] is None else vm["report_age_s"],
        )
        for domain in system_status["failure_domains"].values()
        for vm in domain["vms"]
    ]
    output.print_table("VMs", columns, rows)
