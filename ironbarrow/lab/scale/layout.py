"""Names, addresses and files of all dispatchers and workers of a scale run."""

import json
import os
from pathlib import Path
from typing import Any

from ironbarrow.config.units import ms
from ironbarrow.lab.model import spec
from ironbarrow.lab.model.discovery import Entry
from ironbarrow.lab.scale.target import ACCELERATORS, REGIONS, RUNNING_TASKS, WORKERS, ZONES, Size, zone_of
from ironbarrow.lab.settings import settings_object
from ironbarrow.runtime.sockets import Address

FRONT_PORT, FLEET_PORT = 9000, 9100
_FIRST_DISPATCHER_NET, _FIRST_WORKER_NET, _NETS = 16, 176, 40  # second bytes of 127.0.0.0/8
_FIRST_WORKER_PORT = 10_000
_SEEDS_PER_ZONE = 2
_SOCKETS = 1024
SLOTS = -(-RUNNING_TASKS // WORKERS)  # of a worker, rounded up
CORES = ACCELERATORS / WORKERS
CLASSES = ("task", "booking")
BOOKING_SHARE = 0.2
JOB_S = 10.0  # shorter than at the target, where 3,800 tasks run at 70 starts a second
_DEADLINE_MS = 40_000


class Layout:
    """Addresses, names and settings of one run. ``folder``: for its files."""

    def __init__(self, size: Size, folder: Path) -> None:
        self.size, self.folder = size, folder
        # each run has its own loopback addresses, outside of those that live runs reserve
        # (``lab.live.ports``); the ports are not among those of outgoing connections
        third_byte = 1 + os.getpid() % 200
        self._net = f"127.{_FIRST_DISPATCHER_NET + os.getpid() // 200 % _NETS}.{third_byte}"
        self._worker_net = f"127.{_FIRST_WORKER_NET + os.getpid() // 200 % _NETS}.{third_byte}"
        self.world = self._world()

    def _world(self) -> spec.World:
        task = spec.JobClass(
            name=CLASSES[0],
            share=1 - BOOKING_SHARE,
            work=spec.Distribution(mean=ms(1000 * JOB_S)),
            wanted=ms(1000 * JOB_S * 1.5),
            deadline=ms(_DEADLINE_MS),
        )
        booking = spec.JobClass(
            name=CLASSES[1],
            share=BOOKING_SHARE,
            work=spec.Distribution(mean=ms(1000 * JOB_S)),
            wanted=ms(1000 * JOB_S * 1.5),
            deadline=ms(_DEADLINE_MS),
            effect="unsafe",
        )
        return spec.World(
            name="scale",
            duration=ms(1000),
            classes=[task, booking],
            workers=[spec.WorkerGroup(name="w", count=self.size.workers, slots=SLOTS, cores=CORES)],
            arrivals=spec.Arrivals(rate=self.size.starts_per_second),
            network=spec.Network(zones=list(ZONES)),
            discovery=spec.Discovery(weights="live"),
            dispatchers=spec.Dispatchers(count=self.size.dispatchers, sockets=_SOCKETS, fleet=spec.Fleet()),
        )

    # Dispatchers

    @property
    def numbers(self) -> range:
        """Numbers of all dispatchers, the real ones first."""
        return range(self.size.dispatchers)

    @property
    def real(self) -> range:
        """Numbers of the dispatchers with a process of their own."""
        return range(self.size.real)

    @property
    def hollow(self) -> range:
        """Numbers of the hollow dispatchers."""
        return range(self.size.real, self.size.dispatchers)

    def host(self, number: int) -> str:
        """The address of a dispatcher's machine."""
        return f"{self._net}.{number + 1}"

    def front(self, number: int) -> Address:
        """A dispatcher's address for jobs and call-backs."""
        return self.host(number), FRONT_PORT

    def member(self, number: int) -> Address:
        """A dispatcher's address for other members."""
        return self.host(number), FLEET_PORT

    @property
    def teams(self) -> list[str]:
        """Names of the tenants."""
        return [f"team-{number}" for number in range(self.size.teams)]

    def settings(self, number: int) -> dict[str, Any]:
        """The settings of a dispatcher, in the form of the configuration file."""
        share = 1 / self.size.teams
        teams = [{"name": name, "share": share} for name in self.teams]
        return {**settings_object(self.world, number), "realms": teams}

    def write_config(self, number: int, discovery: Address, known: dict[str, object]) -> Path:
        """Writes a hollow dispatcher's configuration file and returns its path."""
        path = self.folder / f"d{number}.json"
        config = {
            "name": f"d{number}",
            "listen": "{}:{}".format(*self.front(number)),
            "discovery": "{}:{}".format(*discovery),
            "seed": number,
            "limits": {"cores": 1.0, "memory_mb": self.world.dispatchers.memory_mb, "sockets": _SOCKETS},
            "known": known,
            "settings": self.settings(number),
        }
        path.write_text(json.dumps(config))
        return path

    def fleet_text(self, number: int, routes: dict[str, str]) -> str:
        """A dispatcher's fleet file: default rules, comparison of waits for all teams, and two seeds from
        each zone. ``routes``: addresses of members that are reached through a relay, by name."""
        seeds = [other for other in self.numbers[: _SEEDS_PER_ZONE * len(ZONES)] if other != number]
        addresses = {f"d{other}": "{}:{}".format(*self.member(other)) for other in seeds} | routes
        lines = [
            f"listen = {json.dumps('{}:{}'.format(*self.member(number)))}",
            f"site = {json.dumps(zone_of(number))}",
            f"seeds = {json.dumps([f'{name}={address}' for name, address in sorted(addresses.items())])}",
            "[starvation]",
            f"tenants = {max(64, self.size.teams)}",
            "[routes]",
            *(f"{json.dumps(name)} = {json.dumps(address)}" for name, address in routes.items()),
        ]
        return "\n".join(lines) + "\n"

    def write_fleet_file(self, number: int) -> Path:
        """Writes a hollow dispatcher's fleet file and returns its path."""
        path = self.folder / f"d{number}.fleet.toml"
        path.write_text(self.fleet_text(number, {}))
        return path

    # Workers

    @property
    def workers(self) -> list[str]:
        """Names of all workers."""
        return [f"w{number}" for number in range(self.size.workers)]

    @staticmethod
    def worker_zone(name: str) -> str:
        """The zone of a worker."""
        return zone_of(int(name[1:]))

    def worker_address(self, name: str, region: str) -> str:
        """A worker's address for a region's dispatchers."""
        port = _FIRST_WORKER_PORT + int(name[1:])
        return f"{self._worker_net}.{1 + REGIONS.index(region)}:{port}"

    def worker_addresses(self, region: str) -> dict[str, str]:
        """The addresses of all workers for a region's dispatchers, by name."""
        return {name: self.worker_address(name, region) for name in self.workers}

    def entry(self, name: str, since: int = 0) -> Entry:
        """A worker's initial entry, or the entry after a start at ``since`` (ns of Unix time)."""
        return Entry(name, self.worker_zone(name), "", float(SLOTS), since=since)
