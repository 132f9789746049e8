"""What a mass death costs, and what an append costs: by formula and by running it.

python -m ironbarrow.lab.fleet.ledger_costs
"""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ironbarrow.fleet.api import Action, Change, Claimed, ClaimFailed, Committed, job_ledger
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import LedgerRules
from ironbarrow.fleet.ledgers import LedgerMachine
from ironbarrow.fleet.node import Node
from ironbarrow.lab.fleet.net import Seat, SimulatedNet
from ironbarrow.lab.fleet.perfect_members import Everyone, StillMembers
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS


class LedgerFleet:
    """Members on a simulated network that do nothing but keep ledgers; all know at once who is alive."""

    def __init__(self, n: int, replicas: int = 3, sites: int = 3, seed: int = 1) -> None:
        self.net = SimulatedNet(SimulatedClock(), Codec(LedgerMachine.handles), seed)
        self.everyone = Everyone()
        self.machines: dict[str, LedgerMachine] = {}
        self.rules = LedgerRules(replicas=5 if replicas == 5 else 3)
        self.names = [f"m{i}" for i in range(n)]
        for i, name in enumerate(self.names):
            self.net.add(name, f"s{i % sites}", self._build)
            self.net.start(name)

    def _build(self, seat: Seat, node: Node) -> None:
        self.everyone.started(node.incarnation, seat.site)
        view = StillMembers(self.everyone, node.incarnation)
        self.machines[seat.name] = machine = LedgerMachine(node.incarnation, view, self.rules)
        node.add([machine])

    def order(self, name: str, what: Callable[[int], list[Action]]) -> None:
        """Has a member do something now."""
        self.net.order(name, lambda node, now: node.carry_out(what(now)))

    def create(self) -> None:
        """All members have their job ledgers."""
        for name in self.names:
            machine = self.machines[name]
            self.order(name, lambda now, m=machine: m.create(now, job_ledger(m.me)))  # type: ignore[misc]
        self.net.run(5 * MS)

    def append(self, name: str, ledger: str, changes: Sequence[Change]) -> int:
        """Appends in one turn; the number."""
        seqs: list[int] = []

        def order(now: int) -> list[Action]:
            seq, actions = self.machines[name].append(now, ledger, changes)
            seqs.append(seq)
            return actions

        self.order(name, order)
        return seqs[0] if seqs else 0

    def kill(self, name: str) -> None:
        """Ends a member, and all know."""
        self.net.crash(name)
        self.everyone.ended(name)


@dataclass(frozen=True)
class Loss:
    """Ledgers of the killed: those without a majority of replicas left."""

    ledgers: int
    lost: int
    formula: float  # share


def formula(n: int, replicas: int, killed: int) -> float:
    """The share of the killed members' ledgers that have no majority of replicas left: the replicas are drawn
    from the other n - 1, of whom killed - 1 are dead (hypergeometric)."""
    others, dead, most = n - 1, killed - 1, replicas // 2 + 1
    ways = sum(math.comb(dead, i) * math.comb(others - dead, replicas - i) for i in range(most, replicas + 1))
    return ways / math.comb(others, replicas)


def mass_kill(n: int, replicas: int, share: float, seed: int) -> Loss:
    """Kills a share of the members at once; those left claim what they wrote, each in its place in line."""
    fleet = LedgerFleet(n, replicas, seed=seed)
    fleet.create()
    for name in fleet.names:
        fleet.append(name, job_ledger(fleet.machines[name].me), [Change("j/1", b"x")])
    fleet.net.run(5 * MS)
    killed = random.Random(seed).sample(fleet.names, round(n * share))
    cards = [fleet.everyone.members[name].card.ledgers[0] for name in killed]
    for name in killed:
        fleet.kill(name)
    left = [name for name in fleet.names if name not in killed]
    for i, at in enumerate(cards):
        name = left[i % len(left)]
        fleet.order(name, lambda now, m=fleet.machines[name], a=at: m.claim(now, a))  # type: ignore[misc]
    fleet.net.run(6000 * MS)
    told = [news for name in left for news in fleet.net.seats[name].told]
    claimed = sum(isinstance(news, Claimed) for news in told)
    lost = sum(isinstance(news, ClaimFailed) for news in told)
    assert claimed + lost == len(cards), (claimed, lost, len(cards))
    return Loss(len(cards), lost, formula(n, replicas, len(killed)))


def price(replicas: int, batch: int, turns: int = 200, size: int = 400) -> tuple[float, float, float]:
    """Messages and bytes a change, and the median wait for ``Committed``, ms, of changes of that many bytes
    that come ``batch`` in a turn, on a network of 0.25 to 0.35 ms one way."""
    fleet = LedgerFleet(9, replicas)
    fleet.create()
    ledger = job_ledger(fleet.machines["m0"].me)
    waits: list[int] = []
    seat = fleet.net.seats["m0"]
    seat.on_news = lambda news: waits.append(fleet.net.clock.now()) if isinstance(news, Committed) else None
    messages, sizes = fleet.net.messages.total(), fleet.net.bytes.total()
    took: list[float] = []
    for turn in range(turns):
        began = fleet.net.clock.now()
        waits.clear()
        fleet.append("m0", ledger, [Change(f"j/{turn * batch + i}", b"x" * size) for i in range(batch)])
        fleet.net.run(10 * MS)
        took.append((waits[0] - began) / MS)
    done = turns * batch
    return (
        (fleet.net.messages.total() - messages) / done,
        (fleet.net.bytes.total() - sizes) / done,
        sorted(took)[turns // 2],
    )


def main() -> None:
    """Prints both tables."""
    print("members replicas killed ledgers lost measured formula")
    for n, runs in ((10, 40), (30, 15), (230, 3)):
        for replicas in (3, 5):
            found = [mass_kill(n, replicas, 0.7, seed) for seed in range(runs)]
            ledgers, lost = sum(f.ledgers for f in found), sum(f.lost for f in found)
            print(n, replicas, round(n * 0.7), ledgers, lost, f"{lost / ledgers:.3f} {found[0].formula:.3f}")
    print("replicas batch messages/change bytes/change wait-ms")
    for replicas in (3, 5):
        for batch in (1, 10, 32):
            print(replicas, batch, *(f"{figure:.2f}" for figure in price(replicas, batch)))


if __name__ == "__main__":
    main()
