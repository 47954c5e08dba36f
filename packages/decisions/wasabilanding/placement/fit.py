"""Check that a replica of a profile fits into a fabric domain."""

import collections
import collections.abc

from wasabilanding import model


def largest_fabric_sizes(
    vms: collections.abc.Iterable[model.Vm],
) -> dict[str, int]:
    """Return the size of each failure domain's largest fabric domain.

    :param vms: listed VMs, leaving ones included.

    Examples
    ========

    >>> from wasabilanding import model
    >>> from wasabilanding.placement import fit
    >>> vms = [model.Vm(f"v{i}", "", "prov", f"f{i // 2}") for i in range(5)]
    >>> fit.largest_fabric_sizes(vms)
    {'prov': 2}
    """
    sizes: collections.Counter[tuple[str, str]] = collections.Counter(
        (vm.failure_domain, vm.fabric_domain) for vm in vms
    )
    largest: dict[str, int] = {}
    for (failure_domain, _), size in sorted(sizes.items()):
        known = largest.get(failure_domain, 0)
        largest[failure_domain] = max(known, size)
    return largest


def unplaceable_reason(
    profile: model.Profile, vms: collections.abc.Collection[model.Vm]
) -> str:
    """Return why no fabric domain can hold a replica of a profile.

    :param profile: the profile.
    :param vms: listed VMs of all failure domains; without any, the profile
        is taken to fit.
    :returns: explanation with the sizes, empty if the profile fits.
    """
    if profile.kind != "replica" or not vms:
        return ""
    largest = largest_fabric_sizes(vms)
    if profile.vms_per_replica <= max(largest.values()):
        return ""
    sizes = ", ".join(f"{name}: {size}" for name, size in largest.items())
    return (
        f"vms_per_replica: {profile.vms_per_replica} VMs are more than any "
        f"fabric domain has; the largest by failure domain are {sizes}"
    )
