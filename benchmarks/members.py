"""What the members of a fleet cost and how soon they know a death, as the fleet grows. Virtual time.

    python benchmarks/members.py --members 3 10 30 100 230 [--loss-minutes 60] [--seed 1] [--json]

Each size runs in a process of its own: three sites, every member's machine and messages as in service, 0.25
to 0.35 ms from one to another, nothing said by links of broken connections.
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


class Crowd:
    """So many members over three sites, each of which writes a ledger kept by three."""

    def __init__(self, count: int, seed: int) -> None:
        self.net = SimulatedNet(SimulatedClock(), Codec(MemberMachine.handles), seed)
        self.machines: dict[str, MemberMachine] = {}
        self.names = [f"dispatcher-{i}" for i in range(count)]
        self.incarnations: dict[str, Incarnation] = {}
        self.deaths: list[tuple[str, str, int]] = []  # who was told, of whom, when
        self.suspicions = 0
        for i, name in enumerate(self.names):
            self.net.add(name, SITES[i % 3], self._build).on_event = self._noted(name)
        for name in self.names:
            self.incarnations[name] = self.net.start(name)
        for name in self.names:
            self.writes(name)

    def _build(self, seat: SimulatedPeer, node: Node) -> None:
        card = Card(node.incarnation, f"10.0.0.1:{len(self.machines)}", seat.site, "10.0.0.1:8080", 1)
        seeds = [name for name in self.names[:3] if name != seat.name]
        self.machines[seat.name] = MemberMachine(card, MemberRules(), seeds, self.net.clock.now())
        node.add([self.machines[seat.name]])

    def writes(self, name: str) -> None:
        replicas = tuple(self.incarnations[n] for n in self.names[:3])
        at = (LedgerLocation(f"jobs/{self.incarnations[name]}", 1, replicas),)
        self.net.run_on(name, lambda node, now: node.carry_out(self.machines[name].announce_ledgers(at)))

    def _noted(self, name: str) -> Callable[[FleetEvent], None]:
        def noted(news: FleetEvent) -> None:
            if isinstance(news, MemberChanged):
                self.suspicions += news.member.health is Health.SUSPECT
                if news.member.health is Health.DEAD:
                    self.deaths.append((name, news.member.card.incarnation.name, self.net.clock.now()))

        return noted

    def running(self) -> list[str]:
        return [name for name in self.names if self.net.peers[name].node is not None]

    def see(self, of: list[str], health: Health) -> bool:
        """Whether all that run hold all of these for that."""
        return all(
            self.machines[name].health(self.machines[other].me.incarnation) is health
            for name in self.running()
            for other in of
            if other != name
        )

    def until(self, holds: Callable[[], bool], limit_s: float, step: int = 50 * MS) -> float | None:
        """Seconds until something holds; None if it does not in time."""
        start = self.net.clock.now()
        while not holds():
            if self.net.clock.now() - start > limit_s * SECOND:
                return None
            self.net.run(step)
        return (self.net.clock.now() - start) / SECOND


def _at(values: list[float], part: float) -> float | None:
    return round(sorted(values)[min(len(values) - 1, int(part * len(values)))], 2) if values else None


def measure(count: int, seed: int, loss_minutes: float) -> dict[str, object]:
    """One size, in this process."""
    INVARIANTS.fatal = True
    began = time.perf_counter()
    crowd = Crowd(count, seed)
    net = crowd.net
    joined = crowd.until(lambda: crowd.see(crowd.names, Health.ALIVE), 120)
    net.run(60 * SECOND)  # until the news of all these starts has been told

    def traffic(seconds: int) -> dict[str, float]:
        net.messages.clear()
        net.bytes.clear()
        net.run(seconds * SECOND)
        each = [net.bytes[name] / seconds for name in crowd.running()]
        return {
            "messages_s": round(net.messages.total() / seconds / len(each), 1),
            "bytes_s": round(sum(each) / len(each)),
            "bytes_s_most": round(max(each)),
        }

    quiet = traffic(30)

    dice = random.Random(seed)
    took: list[float] = []  # of each pair of a death and one that is told
    last: list[float] = []  # of each death, until all knew
    for _ in range(max(8, 60 // count)):
        name = dice.choice(crowd.names)
        net.run(dice.randrange(SECOND))
        crowd.deaths.clear()
        died = net.clock.now()
        net.crash(name)
        known = crowd.until(lambda name=name: crowd.see([name], Health.DEAD), 30, 20 * MS)
        took += [(at - died) / SECOND for _, of, at in crowd.deaths if of == name]
        last.append(known if known is not None else float("inf"))
        crowd.incarnations[name] = net.start(name)
        crowd.writes(name)
        crowd.until(lambda: crowd.see(crowd.names, Health.ALIVE), 60)
        net.run(5 * SECOND)

    gone = dice.sample(crowd.names, count * 7 // 10)
    died, _ = net.clock.now(), crowd.deaths.clear()
    for name in gone:
        net.crash(name)
    mass = crowd.until(lambda: crowd.see(gone, Health.DEAD), 120)
    mass_took = [(at - died) / SECOND for _, of, at in crowd.deaths if of in gone]
    for name in gone:
        crowd.incarnations[name] = net.start(name)
        crowd.writes(name)
    crowd.until(lambda: crowd.see(crowd.names, Health.ALIVE), 120)
    net.run(10 * SECOND)

    for other in SITES[1:]:
        net.cut_sites(SITES[0], other)
    net.run(5 * SECOND)
    net.heal()
    crowd.deaths.clear()
    healed = crowd.until(lambda: crowd.see(crowd.names, Health.ALIVE), 120)
    after = len(crowd.deaths)
    side = {name: net.peers[name].site == SITES[0] for name in crowd.names}
    own = sum(side[told] == side[of] for told, of, _ in crowd.deaths)  # of those that were in sight all along
    net.run(20 * SECOND)

    net.default_link.lost = 0.05
    crowd.deaths.clear()
    crowd.suspicions = 0
    lossy = traffic(max(1, round(loss_minutes * 60)))
    pairs = {(of, at // SECOND) for _, of, at in crowd.deaths}
    hours = loss_minutes / 60 * count
    return {
        "members": count,
        "join_s": joined,
        **quiet,
        "death_p50_s": _at(took, 0.5),
        "death_p99_s": _at(took, 0.99),
        "death_last_s": _at(last, 1.0),
        "mass_p50_s": _at(mass_took, 0.5),
        "mass_last_s": mass,
        "healed_s": healed,
        "deaths_after_heal": after,
        "deaths_after_heal_own_side": own,
        "loss_minutes": loss_minutes,
        "lossy_bytes_s": lossy["bytes_s"],
        "lossy_messages_s": lossy["messages_s"],
        "suspicions_per_member_hour": round(crowd.suspicions / max(1, count - 1) / hours, 2),
        "false_deaths": len({of for of, _ in pairs}),
        "false_deaths_told": len(crowd.deaths),
        "wall_s": round(time.perf_counter() - began, 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--members", type=int, nargs="+", default=[3, 10, 30, 100, 230])
    parser.add_argument("--loss-minutes", type=float, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    if given.json:
        print(json.dumps(measure(given.members[0], given.seed, given.loss_minutes)))
        return
    for count in given.members:
        command = [sys.executable, __file__, "--json", "--members", str(count), "--seed", str(given.seed)]
        done = subprocess.run(
            [*command, "--loss-minutes", str(given.loss_minutes)], check=True, capture_output=True, text=True
        )
        print(done.stdout.strip(), flush=True)


if __name__ == "__main__":
    main()
