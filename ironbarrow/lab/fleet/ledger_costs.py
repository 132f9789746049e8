"""Measures the ledgers lost when many members die at once, and the cost of an append to a ledger.

The share of lost ledgers is compared with its expected value. To print both tables:

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
from ironbarrow.lab.fleet.net import SimulatedNet, SimulatedPeer
from ironbarrow.lab.fleet.perfect_members import PerfectMembers, TrueMembership
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS


class LedgerFleet:
    """Members on a simulated network that only keep ledgers. All learn at once of each start and death."""

    def __init__(self, n: int, replicas: int = 3, sites: int = 3, seed: int = 1) -> None:
        self.net = SimulatedNet(SimulatedClock(), Codec(LedgerMachine.handles), seed)
        self.membership = TrueMembership()
        self.machines: dict[str, LedgerMachine] = {}
        self.rules = LedgerRules(replicas=5 if replicas == 5 else 3)
        self.names = [f"m{i}" for i in range(n)]
        for i, name in enumerate(self.names):
            self.net.add(name, f"s{i % sites}", self._build)
            self.net.start(name)

    def _build(self, peer: SimulatedPeer, node: Node) -> None:
        self.membership.add(node.incarnation, peer.site)
        view = PerfectMembers(self.membership, node.incarnation)
        self.machines[peer.name] = machine = LedgerMachine(node.incarnation, view, self.rules)
        node.add([machine])

    def run_on(self, name: str, call: Callable[[int], list[Action]]) -> None:
        """Calls a function with the time and carries out the actions that it returns, as one member."""
        self.net.run_on(name, lambda node, now: node.carry_out(call(now)))

    def create(self) -> None:
        """Creates a job ledger for every member."""
        for name in self.names:
            machine = self.machines[name]
            self.run_on(name, lambda now, m=machine: m.create(now, job_ledger(m.me)))  # type: ignore[misc]
        self.net.run(5 * MS)

    def append(self, name: str, ledger: str, changes: Sequence[Change]) -> int:
        """Appends changes to a ledger and returns their sequence number; 0 if the member is not running."""
        seqs: list[int] = []

        def append(now: int) -> list[Action]:
            seq, actions = self.machines[name].append(now, ledger, changes)
            seqs.append(seq)
            return actions

        self.run_on(name, append)
        return seqs[0] if seqs else 0

    def kill(self, name: str) -> None:
        """Ends a member; all others see it as dead at once."""
        self.net.crash(name)
        self.membership.set_health(name)


@dataclass(frozen=True)
class LedgerLosses:
    """The killed members' ledgers, and how many of them were lost with the majority of their replicas."""

    ledgers: int
    lost: int
    expected_share: float  # of lost ledgers, by ``expected_lost_share``


def expected_lost_share(n: int, replicas: int, killed: int) -> float:
    """Returns the expected share of the killed members' ledgers that have lost the majority of their
    replicas.

    A ledger's replicas are drawn from the n - 1 other members, of which killed - 1 are dead: a hypergeometric
    distribution."""
    others, dead, most = n - 1, killed - 1, replicas // 2 + 1
    ways = sum(math.comb(dead, i) * math.comb(others - dead, replicas - i) for i in range(most, replicas + 1))
    return ways / math.comb(others, replicas)


def mass_kill(n: int, replicas: int, share: float, seed: int) -> LedgerLosses:
    """Kills a share of the members at once. The survivors claim their ledgers, distributed round-robin."""
    fleet = LedgerFleet(n, replicas, seed=seed)
    fleet.create()
    for name in fleet.names:
        fleet.append(name, job_ledger(fleet.machines[name].me), [Change("j/1", b"x")])
    fleet.net.run(5 * MS)
    killed = random.Random(seed).sample(fleet.names, round(n * share))
    cards = [fleet.membership.members[name].card.ledgers[0] for name in killed]
    for name in killed:
        fleet.kill(name)
    left = [name for name in fleet.names if name not in killed]
    for i, at in enumerate(cards):
        name = left[i % len(left)]
        fleet.run_on(name, lambda now, m=fleet.machines[name], a=at: m.claim(now, a))  # type: ignore[misc]
    fleet.net.run(6000 * MS)
    events = [event for name in left for event in fleet.net.peers[name].events]
    claimed = sum(isinstance(event, Claimed) for event in events)
    lost = sum(isinstance(event, ClaimFailed) for event in events)
    assert claimed + lost == len(cards), (claimed, lost, len(cards))
    return LedgerLosses(len(cards), lost, expected_lost_share(n, replicas, len(killed)))


def append_cost(replicas: int, batch: int, turns: int = 200, size: int = 400) -> tuple[float, float, float]:
    """Returns messages per change, bytes per change and the median time to ``Committed`` (ms).

    ``batch`` changes of ``size`` bytes each are appended together, on a network with a one-way latency of
    0.25 to 0.35 ms."""
    fleet = LedgerFleet(9, replicas)
    fleet.create()
    ledger = job_ledger(fleet.machines["m0"].me)
    commit_times: list[int] = []
    peer = fleet.net.peers["m0"]
    peer.on_event = lambda event: (
        commit_times.append(fleet.net.clock.now()) if isinstance(event, Committed) else None
    )
    messages, sizes = fleet.net.messages.total(), fleet.net.bytes.total()
    waits: list[float] = []
    for turn in range(turns):
        began = fleet.net.clock.now()
        commit_times.clear()
        fleet.append("m0", ledger, [Change(f"j/{turn * batch + i}", b"x" * size) for i in range(batch)])
        fleet.net.run(10 * MS)
        waits.append((commit_times[0] - began) / MS)
    done = turns * batch
    return (
        (fleet.net.messages.total() - messages) / done,
        (fleet.net.bytes.total() - sizes) / done,
        sorted(waits)[turns // 2],
    )


def main() -> None:
    """Prints both tables."""
    print("members replicas killed ledgers lost measured formula")
    for n, runs in ((10, 40), (30, 15), (230, 3)):
        for replicas in (3, 5):
            found = [mass_kill(n, replicas, 0.7, seed) for seed in range(runs)]
            ledgers, lost = sum(f.ledgers for f in found), sum(f.lost for f in found)
            print(
                n,
                replicas,
                round(n * 0.7),
                ledgers,
                lost,
                f"{lost / ledgers:.3f} {found[0].expected_share:.3f}",
            )
    print("replicas batch messages/change bytes/change wait-ms")
    for replicas in (3, 5):
        for batch in (1, 10, 32):
            print(replicas, batch, *(f"{figure:.2f}" for figure in append_cost(replicas, batch)))


if __name__ == "__main__":
    main()
