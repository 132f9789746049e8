"""Traffic of fleet members and their failure detection times, by fleet size, in simulated time.

    python benchmarks/members.py --members 3 10 30 100 230 [--loss-minutes 60] [--seed 1] [--json]

Each size runs in a separate process: three sites, the production membership protocol and codec, 0.25 to
0.35 ms of network delay. Links do not report broken connections: only the protocol detects deaths.
"""

import argparse
import json
import random
import subprocess
import sys
import time
from collections.abc import Callable

from ironbarrow.fleet.api import Card, FleetEvent, Health, Incarnation, LedgerLocation, MemberChanged
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import MemberRules
from ironbarrow.fleet.invariants import INVARIANTS
from ironbarrow.fleet.members import MemberMachine
from ironbarrow.fleet.node import Node
from ironbarrow.lab.fleet.net import SimulatedNet, SimulatedPeer
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS, SECOND

SITES = ("north", "south", "west")


class SimulatedMembers:
    """Members over three sites, each with a ledger that has three replicas."""

    def __init__(self, count: int, seed: int) -> None:
        self.net = SimulatedNet(SimulatedClock(), Codec(MemberMachine.handles), seed)
        self.machines: dict[str, MemberMachine] = {}
        self.names = [f"dispatcher-{i}" for i in range(count)]
        self.incarnations: dict[str, Incarnation] = {}
        self.deaths: list[tuple[str, str, int]] = []  # observer, dead member, time (ns)
        self.suspicions = 0
        for i, name in enumerate(self.names):
            self.net.add(name, SITES[i % 3], self._build).on_event = self._event_recorder(name)
        for name in self.names:
            self.incarnations[name] = self.net.start(name)
        for name in self.names:
            self.announce_ledger(name)

    def _build(self, seat: SimulatedPeer, node: Node) -> None:
        card = Card(node.incarnation, f"10.0.0.1:{len(self.machines)}", seat.site, "10.0.0.1:8080", 1)
        seeds = [name for name in self.names[:3] if name != seat.name]
        self.machines[seat.name] = MemberMachine(card, MemberRules(), seeds, self.net.clock.now())
        node.add([self.machines[seat.name]])

    def announce_ledger(self, name: str) -> None:
        replicas = tuple(self.incarnations[n] for n in self.names[:3])
        at = (LedgerLocation(f"jobs/{self.incarnations[name]}", 1, replicas),)
        self.net.run_on(name, lambda node, now: node.carry_out(self.machines[name].announce_ledgers(at)))

    def _event_recorder(self, name: str) -> Callable[[FleetEvent], None]:
        def record_event(event: FleetEvent) -> None:
            if isinstance(event, MemberChanged):
                self.suspicions += event.member.health is Health.SUSPECT
                if event.member.health is Health.DEAD:
                    self.deaths.append((name, event.member.card.incarnation.name, self.net.clock.now()))

        return record_event

    def running(self) -> list[str]:
        return [name for name in self.names if self.net.peers[name].node is not None]

    def all_see(self, names: list[str], health: Health) -> bool:
        """Whether every running member sees all named members in this state of health."""
        return all(
            self.machines[name].health(self.machines[other].me.incarnation) is health
            for name in self.running()
            for other in names
            if other != name
        )

    def run_until(self, condition: Callable[[], bool], limit_s: float, step: int = 50 * MS) -> float | None:
        """Runs until the condition holds; returns the seconds, or None after the limit."""
        start = self.net.clock.now()
        while not condition():
            if self.net.clock.now() - start > limit_s * SECOND:
                return None
            self.net.run(step)
        return (self.net.clock.now() - start) / SECOND


def _quantile(values: list[float], fraction: float) -> float | None:
    return round(sorted(values)[min(len(values) - 1, int(fraction * len(values)))], 2) if values else None


def measure(count: int, seed: int, loss_minutes: float) -> dict[str, object]:
    """Measures one size in this process."""
    INVARIANTS.fatal = True
    started = time.perf_counter()
    fleet = SimulatedMembers(count, seed)
    net = fleet.net
    join_time = fleet.run_until(lambda: fleet.all_see(fleet.names, Health.ALIVE), 120)
    net.run(60 * SECOND)  # until all starts have been disseminated

    def traffic(seconds: int) -> dict[str, float]:
        net.messages.clear()
        net.bytes.clear()
        net.run(seconds * SECOND)
        each = [net.bytes[name] / seconds for name in fleet.running()]
        return {
            "messages_s": round(net.messages.total() / seconds / len(each), 1),
            "bytes_s": round(sum(each) / len(each)),
            "bytes_s_most": round(max(each)),
        }

    idle_traffic = traffic(30)

    rng = random.Random(seed)
    detection_times: list[float] = []  # one for each pair of a death and an observer
    full_detection_times: list[float] = []  # for each death, until all members saw it
    for _ in range(max(8, 60 // count)):
        name = rng.choice(fleet.names)
        net.run(rng.randrange(SECOND))
        fleet.deaths.clear()
        crashed_at = net.clock.now()
        net.crash(name)
        detection_time = fleet.run_until(lambda name=name: fleet.all_see([name], Health.DEAD), 30, 20 * MS)
        detection_times += [
            (at - crashed_at) / SECOND for _, member_name, at in fleet.deaths if member_name == name
        ]
        full_detection_times.append(detection_time if detection_time is not None else float("inf"))
        fleet.incarnations[name] = net.start(name)
        fleet.announce_ledger(name)
        fleet.run_until(lambda: fleet.all_see(fleet.names, Health.ALIVE), 60)
        net.run(5 * SECOND)

    crashed = rng.sample(fleet.names, count * 7 // 10)
    crashed_at, _ = net.clock.now(), fleet.deaths.clear()
    for name in crashed:
        net.crash(name)
    mass_detection_time = fleet.run_until(lambda: fleet.all_see(crashed, Health.DEAD), 120)
    mass_detection_times = [
        (at - crashed_at) / SECOND for _, member_name, at in fleet.deaths if member_name in crashed
    ]
    for name in crashed:
        fleet.incarnations[name] = net.start(name)
        fleet.announce_ledger(name)
    fleet.run_until(lambda: fleet.all_see(fleet.names, Health.ALIVE), 120)
    net.run(10 * SECOND)

    for other in SITES[1:]:
        net.cut_sites(SITES[0], other)
    net.run(5 * SECOND)
    net.heal()
    fleet.deaths.clear()
    healed = fleet.run_until(lambda: fleet.all_see(fleet.names, Health.ALIVE), 120)
    deaths_after_heal = len(fleet.deaths)
    in_cut_site = {name: net.peers[name].site == SITES[0] for name in fleet.names}
    own_side_deaths = sum(
        in_cut_site[observer] == in_cut_site[member_name] for observer, member_name, _ in fleet.deaths
    )  # deaths of members that the cut did not separate from the observer
    net.run(20 * SECOND)

    net.default_link.lost = 0.05
    fleet.deaths.clear()
    fleet.suspicions = 0
    lossy_traffic = traffic(max(1, round(loss_minutes * 60)))
    pairs = {(member_name, at // SECOND) for _, member_name, at in fleet.deaths}
    hours = loss_minutes / 60 * count
    return {
        "members": count,
        "join_s": join_time,
        **idle_traffic,
        "death_p50_s": _quantile(detection_times, 0.5),
        "death_p99_s": _quantile(detection_times, 0.99),
        "death_last_s": _quantile(full_detection_times, 1.0),
        "mass_p50_s": _quantile(mass_detection_times, 0.5),
        "mass_last_s": mass_detection_time,
        "healed_s": healed,
        "deaths_after_heal": deaths_after_heal,
        "deaths_after_heal_own_side": own_side_deaths,
        "loss_minutes": loss_minutes,
        "lossy_bytes_s": lossy_traffic["bytes_s"],
        "lossy_messages_s": lossy_traffic["messages_s"],
        "suspicions_per_member_hour": round(fleet.suspicions / max(1, count - 1) / hours, 2),
        "false_deaths": len({member_name for member_name, _ in pairs}),
        "false_deaths_told": len(fleet.deaths),
        "wall_s": round(time.perf_counter() - started, 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--members", type=int, nargs="+", default=[3, 10, 30, 100, 230])
    parser.add_argument("--loss-minutes", type=float, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    if options.json:
        print(json.dumps(measure(options.members[0], options.seed, options.loss_minutes)))
        return
    for count in options.members:
        command = [sys.executable, __file__, "--json", "--members", str(count), "--seed", str(options.seed)]
        done = subprocess.run(
            [*command, "--loss-minutes", str(options.loss_minutes)],
            check=True,
            capture_output=True,
            text=True,
        )
        print(done.stdout.strip(), flush=True)


if __name__ == "__main__":
    main()
