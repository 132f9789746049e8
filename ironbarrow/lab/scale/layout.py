"""Names, addresses and files of all parties of a scale run."""

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
_DISPATCHERS_FROM, _WORKERS_FROM, _SECOND_BYTES = 16, 176, 40  # second bytes of 127.0.0.0/8
_FIRST_WORKER_PORT = 10_000
_SEEDS_A_ZONE = 2
_SOCKETS = 1024
SLOTS = -(-RUNNING_TASKS // WORKERS)  # of a worker, rounded up
CORES = ACCELERATORS / WORKERS
CLASSES = ("task", "booking")
BOOKING_SHARE = 0.2
JOB_S = 10.0  # shorter than at the target, where 3,800 tasks run at 70 starts a second
_DEADLINE_MS = 40_000


class Layout:
    """Where everything of one run is. ``folder``: takes the files."""

    def __init__(self, size: Size, folder: Path) -> None:
        self.size, self.folder = size, folder
        # addresses of this run's own on the loopback net, outside of those that live runs reserve
        # (``lab.live.ports``); ports of outgoing connections are elsewhere
        third = 1 + os.getpid() % 200
        self._net = f"127.{_DISPATCHERS_FROM + os.getpid() // 200 % _SECOND_BYTES}.{third}"
        self._worker_net = f"127.{_WORKERS_FROM + os.getpid() // 200 % _SECOND_BYTES}.{third}"
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
        """Of all dispatchers, the real ones first."""
        return range(self.size.dispatchers)

    @property
    def real(self) -> range:
        """Numbers of those with a process of their own."""
        return range(self.size.real)

    @property
    def hollow(self) -> range:
        """Numbers of the others."""
        return range(self.size.real, self.size.dispatchers)

    def host(self, number: int) -> str:
        """The address of a dispatcher's machine."""
        return f"{self._net}.{number + 1}"

    def front(self, number: int) -> Address:
        """Where a dispatcher takes jobs and call-backs."""
        return self.host(number), FRONT_PORT

    def member(self, number: int) -> Address:
        """Where the other members reach a dispatcher."""
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
        """The configuration file of a hollow dispatcher."""
        path = self.folder / f"d{number}.json"
        said = {
            "name": f"d{number}",
            "listen": "{}:{}".format(*self.front(number)),
            "discovery": "{}:{}".format(*discovery),
            "seed": number,
            "limits": {"cores": 1.0, "memory_mb": self.world.dispatchers.memory_mb, "sockets": _SOCKETS},
            "known": known,
            "settings": self.settings(number),
        }
        path.write_text(json.dumps(said))
        return path

    def fleet_text(self, number: int, routes: dict[str, str]) -> str:
        """The fleet file of a dispatcher: the usual rules, waits compared for all teams, and two seeds of
        each zone. ``routes``: where it finds members that are not reached at their own addresses."""
        seeds = [other for other in self.numbers[: _SEEDS_A_ZONE * len(ZONES)] if other != number]
        found = {f"d{other}": "{}:{}".format(*self.member(other)) for other in seeds} | routes
        lines = [
            f"listen = {json.dumps('{}:{}'.format(*self.member(number)))}",
            f"site = {json.dumps(zone_of(number))}",
            f"seeds = {json.dumps([f'{name}={address}' for name, address in sorted(found.items())])}",
            "[starvation]",
            f"tenants = {max(64, self.size.teams)}",
            "[routes]",
            *(f"{json.dumps(name)} = {json.dumps(address)}" for name, address in routes.items()),
        ]
        return "\n".join(lines) + "\n"

    def write_fleet_file(self, number: int) -> Path:
        """The fleet file of a hollow dispatcher."""
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
        """Where a region's dispatchers find a worker."""
        port = _FIRST_WORKER_PORT + int(name[1:])
        return f"{self._worker_net}.{1 + REGIONS.index(region)}:{port}"

    def worker_addresses(self, region: str) -> dict[str, str]:
        """Where a region's dispatchers find all of them."""
        return {name: self.worker_address(name, region) for name in self.workers}

    def entry(self, name: str, since: int = 0) -> Entry:
        """A worker's line as it is at first, or after a start at that time (ns of Unix time)."""
        return Entry(name, self.worker_zone(name), "", float(SLOTS), since=since)
