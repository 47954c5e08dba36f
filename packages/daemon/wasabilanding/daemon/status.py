"""Status of the system as seen by one node, with downtime totals."""

import dataclasses

import trio

from wasabilanding import configuration
from wasabilanding.daemon import context as context_module
from wasabilanding import model
from wasabilanding import placement
from wasabilanding import routing

ACCUMULATE_INTERVAL_S = 0.5


class NodeStatus:
    """Status of the system for operators, as seen by one node.

    :param context: state shared by the daemon's loops.
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._downtime_s = 0.0
        self._stranded_s = 0.0

    def configuration(self) -> configuration.Configuration:
        """Return the configuration in force on this node."""
        return self._context.known.configuration

    def vms(self) -> tuple[model.Vm, ...]:
        """Return the listed VMs of all failure domains."""
        listings = self._context.known.listings.values()
        return tuple(vm for listing in listings for vm in listing.vms)

    def explain(self, service: str) -> tuple[placement.Explanation, ...]:
        """Explain a service's replicas in each failure domain.

        :param service: name of a service that is served by replicas.
        """
        known = self._context.known
        entry = known.configuration.profile_of(service)
        return tuple(
            placement.explain(
                known.record(domain),
                service,
                entry,
                listing.vms,
                known.reports,
                self._context.now(),
            )
            for domain, listing in sorted(known.listings.items())
        )

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._context.telemetry.render()

    def summary(self, failure_domain: str) -> placement.Summary:
        """Return the downtime and stranded accelerators of a failure domain.

        :param failure_domain: the failure domain.
        """
        known = self._context.known
        return placement.summarise(
            known.record(failure_domain),
            placement.wanted_replicas(known.configuration),
            known.listing(failure_domain).vms,
            known.reports,
            self._context.now(),
        )

    def status(self) -> dict:
        """Return the status of failure domains, replicas and VMs."""
        context = self._context
        now = context.now()
        domains = sorted(context.known.listings)
        return {
            "node": context.settings.node,
            "configuration_revision": context.known.configuration.revision,
            "group_downtime_s": round(self._downtime_s, 3),
            "stranded_accelerator_s": round(self._stranded_s, 3),
            "nodes": [
                {
                    "name": node.name,
                    "failure_domain": node.failure_domain,
                    "address": node.address,
                }
                for node in context.members.live(now)
            ],
            "failure_domains": {
                domain: self._domain(domain) for domain in domains
            },
        }

    def _domain(self, failure_domain: str) -> dict:
        known = self._context.known
        record = known.record(failure_domain)
        summary = self.summary(failure_domain)
        return {
            **dataclasses.asdict(summary),
            "down": summary.down,
            "record_revision": record.revision,
            "fence": record.fence,
            "replicas": [self._replica(r) for r in record.replicas],
            "vms": [self._vm(v) for v in known.listing(failure_domain).vms],
        }

    def _replica(self, replica: model.ReplicaRecord) -> dict:
        known = self._context.known
        now = self._context.now()
        return {
            "replica_id": replica.replica_id,
            "epoch": replica.epoch,
            "service": replica.service,
            "profile": replica.profile,
            "profile_revision": replica.profile_revision,
            "fabric_domain": replica.fabric_domain,
            "members": list(replica.members),
            "state": replica.state.value,
            "serving": bool(
                routing.usable_variant(replica, known.reports, now)
            ),
        }

    def _vm(self, vm: model.Vm) -> dict:
        report = self._context.known.reports.get(vm.vm)
        age = self._context.now() - report.observed_at if report else None
        return {
            "vm": vm.vm,
            "fabric_domain": vm.fabric_domain,
            "accelerators": vm.accelerators,
            "leaving": vm.leaving or bool(report and report.leaving),
            "state": report.state.value if report else "unknown",
            "replica_id": report.replica_id if report else "",
            "report_age_s": None if age is None else round(age, 3),
        }

    async def accumulate_totals(self) -> None:
        """Accumulate downtime and stranded time until cancelled."""
        domain = self._context.failure_domain
        before = self._context.now()
        while True:
            await trio.sleep(ACCUMULATE_INTERVAL_S)
            now = self._context.now()
            summary = self.summary(domain)
            downtime_s = summary.down * (now - before)
            stranded_s = summary.stranded * (now - before)
            self._downtime_s += downtime_s
            self._stranded_s += stranded_s
            self._context.telemetry.add_downtime_and_stranding(
                domain, downtime_s, stranded_s
            )
            before = now
