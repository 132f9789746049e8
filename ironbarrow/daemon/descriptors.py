"""Divides the descriptors that a dispatcher may use among its clients and its workers."""

import resource
from dataclasses import dataclass
from pathlib import Path

import structlog

from ironbarrow.config.loader import Config, ConfigError

log = structlog.get_logger()

# for the operators' listener, its connections, the file of bans, the hand-over's channel and its locks on ids
_ADMIN_DESCRIPTORS = 32
_MIN_SPARE = 8  # with fewer, the share of clients or workers would round down to 0
_MIN_SPARE_IN_FLEET = 32  # that clients and workers need beside the fleet's links
# for the program itself, the listener, epoll and the discovery service; connections to workers may use half
_RESERVED_DESCRIPTORS = 32


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """How many descriptors each kind of connection may take."""

    clients: int  # clients and call-backs
    workers: int  # attempts, DELETEs, probes and idle connections
    idle: int  # of these, idle connections

    @staticmethod
    def of(config: Config) -> "DescriptorBudget":
        """Returns the budget for a configuration.

        Raises a ConfigError if the fleet file can't be used or leaves too few to clients and workers."""
        spare = available_descriptors(config.sockets) - _RESERVED_DESCRIPTORS
        if config.admin is not None:
            spare -= _ADMIN_DESCRIPTORS
        if config.fleet is not None:
            spare = _without_fleet_links(config, config.fleet, spare)
        clients = spare * 5 // 8
        return DescriptorBudget(
            clients=clients, workers=spare - clients + _RESERVED_DESCRIPTORS // 2, idle=spare // 4
        )


def available_descriptors(configured: int) -> int:
    """Returns how many descriptors this process may use: the lower of limits.sockets and the system's limit.

    With a number above the system's limit, clients could take all descriptors and leave none for the
    discovery service and workers."""
    try:
        system_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    except (OSError, ValueError):
        return configured
    if system_limit == resource.RLIM_INFINITY or system_limit >= configured:
        return configured
    log.warning("the system's descriptor limit is below limits.sockets", given=system_limit, limit=configured)
    return max(_RESERVED_DESCRIPTORS + _ADMIN_DESCRIPTORS + _MIN_SPARE, system_limit)


def _without_fleet_links(config: Config, path: Path, spare: int) -> int:
    """Returns the number of spare descriptors without those of the fleet's links.

    Raises a ConfigError if the fleet file can't be used or too few are left.

    If clients could take the links' descriptors, this process could not connect to the members that store the
    records of its jobs.
    """
    try:
        from ironbarrow.fleet.file import FleetError, load
    except ImportError as error:
        raise ConfigError(f"fleet: {path}: needs msgspec: {error}") from None
    try:
        links = load(path, config.name).descriptors
    except FleetError as error:
        raise ConfigError(str(error)) from None
    if spare - links < _MIN_SPARE_IN_FLEET:
        raise ConfigError(
            f"{path}: links: {links} descriptors leave {spare - links} of limits.sockets = {config.sockets}"
            f" to clients and workers, expected {_MIN_SPARE_IN_FLEET} or more"
        )
    return spare - links
