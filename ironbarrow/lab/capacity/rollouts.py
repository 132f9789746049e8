"""Counts of a rollout under way: what members tell its coordinator, by members and by workers in use."""

from dataclasses import dataclass

from ironbarrow.fleet.ledgers import LedgerMachine
from ironbarrow.fleet.members import MemberMachine
from ironbarrow.fleet.rollout.commands import AgentStatus, Command, DispatcherReport
from ironbarrow.fleet.rollout.signals import AttemptEnd
from ironbarrow.lab.capacity.counting import Sent, metered
from ironbarrow.lab.fleet.field import KINDS, RolloutField, targets_of
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
    """What is sent while a rollout waits between two waves."""

    members: int
    workers_used: int  # by each member, in each second
    seconds: int
    observed: Sent  # to the coordinator
    commands: Sent  # to the agents, and their answers
    ledger: Sent

    @property
    def coordinator_bytes(self) -> float:
        """Bytes a second that the coordinator is told."""
        return self.observed.bytes / self.seconds


def count_rollout(members: int, workers_used: int, *, seconds: int = 8) -> RolloutCount:
    """Counts a soak: every member tells each second of an attempt at so many workers."""
    field = RolloutField(targets_of(3, max(4, -(-workers_used // 3))), seed=1, members=members)
    traffic = metered(field.net, (*KINDS, *MemberMachine.handles, *LedgerMachine.handles))
    field.start("m0", _PLAN)
    field.run(6)
    workers = sorted(field.boxes)[:workers_used]
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
