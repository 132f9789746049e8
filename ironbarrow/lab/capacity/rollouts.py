"""Counts of a rollout in progress: reports to its coordinator, by members and by workers used."""

from dataclasses import dataclass

from ironbarrow.fleet.ledgers import LedgerMachine
from ironbarrow.fleet.members import MemberMachine
from ironbarrow.fleet.rollout.commands import AgentStatus, Command, DispatcherReport
from ironbarrow.fleet.rollout.signals import AttemptEnd
from ironbarrow.lab.capacity.counting import SentTotals, meter_traffic
from ironbarrow.lab.fleet.rollout_simulation import KINDS, RolloutSimulation, make_targets
from ironbarrow.runtime.clock import MS

_PLAN = """
name = "r1"
runtime = "2.0"
last_good = "1.0"
sites = ["a", "b", "c"]
most_out = 1
soak = "120 s"
drain = "1 s"
[[waves]]
count = 1
[[waves]]
share = 1
"""
_CLASS = "map"
_WORK = 200 * MS


@dataclass(frozen=True, slots=True)
class RolloutCount:
    """What is sent during the soak of a rollout."""

    members: int
    workers_used: int  # by each member in each second
    seconds: int
    observed: SentTotals  # to the coordinator
    commands: SentTotals  # to the agents, with their answers
    ledger: SentTotals

    @property
    def coordinator_bytes(self) -> float:
        """Bytes per second of reports to the coordinator."""
        return self.observed.bytes / self.seconds


def count_rollout(members: int, workers_used: int, *, seconds: int = 8) -> RolloutCount:
    """Counts a soak in which every member reports an attempt at each of ``workers_used`` workers every
    second."""
    field = RolloutSimulation(make_targets(3, max(4, -(-workers_used // 3))), seed=1, members=members)
    traffic = meter_traffic(field.net, (*KINDS, *MemberMachine.handles, *LedgerMachine.handles))
    field.start("m0", _PLAN)
    field.run(6)
    workers = sorted(field.hosts)[:workers_used]
    traffic.clear()
    for _ in range(seconds):
        for machine in field.machines.values():
            for worker in workers:
                machine.signals.attempt_sent(worker, 0, _CLASS, _WORK, 1.0)
                machine.signals.attempt_ended(worker, 0, _CLASS, 1.0, AttemptEnd.DONE, _WORK, 3.0)
        field.run(1)
    return RolloutCount(
        members,
        workers_used,
        seconds,
        traffic.of_kinds(DispatcherReport),
        traffic.of_kinds(Command, AgentStatus),
        traffic.of_kinds(*LedgerMachine.handles),
    )
