"""One dispatcher's part in its fleet, put together: the member on the loop, its ledgers, its work.

Imported by the program only where a fleet file is given.
"""

import os
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import structlog

from ironbarrow.core.host import Host
from ironbarrow.fleet import file
from ironbarrow.fleet.api import FleetEvent
from ironbarrow.fleet.file import Fleet, StarvationRules
from ironbarrow.fleet.ledgers import LedgerMachine
from ironbarrow.fleet.service import FleetService
from ironbarrow.fleet.takeover import faults
from ironbarrow.fleet.takeover.adapter import CancellingInvoker, TakeoverAdapter, takeover_rules
from ironbarrow.fleet.takeover.machine import Takeover
from ironbarrow.runtime.loop import MS, Loop
from ironbarrow.runtime.sockets import Address

if TYPE_CHECKING:
    from ironbarrow.fleet.starvation.machine import StarvationMachine

log = structlog.get_logger()

_LEAVE_CHECK_INTERVAL = 20 * MS  # between two looks whether all is written down and said


class FleetParticipant:
    """A dispatcher of a fleet. A FleetError or ValueError for a file or a fault that can't be used, an
    OSError if it can't listen where the file says."""

    def __init__(
        self,
        loop: Loop,
        host: Host,
        back: CancellingInvoker,
        path: Path,
        name: str,
        site: str,
        front: Address,
        *,
        make_service: Callable[[Loop, Fleet, str, str, str], FleetService] = FleetService,
    ) -> None:
        """``make_service``: makes the member on the loop; a laboratory's own may count or cut its links."""
        self.fleet: Fleet = file.load(path, name)
        on_fault_point = faults.from_environment(os.environ)
        self._loop, self._host, self._stopping = loop, host, False
        self.waits: StarvationMachine | None = None
        self._rules = takeover_rules(host.settings, self.fleet, on_fault_point)
        self.service = make_service(loop, self.fleet, name, site, "{}:{}".format(*front))
        self.adapter = TakeoverAdapter(loop, host, back, self.service.carry_out)
        self.adapter.on_superseded = lambda: loop.soon(self._on_superseded)
        self._add_machines(self.service)
        self.service.on_new_incarnation(self._add_machines)
        self.service.subscribe(self.adapter.on_event)
        self.service.subscribe(self._log_waits)
        if self.fleet.rollout is not None:
            from ironbarrow.fleet.rollout_participant import RolloutParticipant

            RolloutParticipant(loop, host, self.service, self.fleet.rollout, lambda: self.ledgers)

    def _add_machines(self, service: FleetService) -> None:
        """Another incarnation: its machines, and what clients of the last one still wait for."""
        now = self._loop.now()
        earlier: Takeover | None = getattr(self.adapter, "machine", None)
        self.ledgers = LedgerMachine(service.incarnation, service.members, self.fleet.ledgers)
        machine = Takeover(now, service.incarnation, service.members, self.ledgers, self._rules)
        service.add(self.ledgers, machine)
        if self.fleet.starvation is not None:
            self._compare_waits(service, self.fleet.starvation, now)
        self.adapter.machine = machine
        service.carry_out(machine.open_ledger(now))
        if earlier is not None:
            if not earlier.fenced:  # another process went by this name, or this one's clock was set back
                service.carry_out(earlier.supersede(now))
            service.carry_out(machine.inherit(now, earlier))

    def _compare_waits(self, service: FleetService, rules: StarvationRules, now: int) -> None:
        """This dispatcher's waits are compared with those at the others."""
        from ironbarrow.fleet.starvation.machine import Shares, StarvationMachine

        settings = self._host.settings
        shares = Shares({t.name: t.allowance_per_s / settings.dispatchers for t in settings.tenants})
        if rules.move and self.waits is None:
            log.warning("starvation.move: jobs are not moved yet, verdicts alone are given")
        book = self.waits.book if self.waits is not None else None
        self.waits = StarvationMachine(
            service.members.me, service.members, self.ledgers, rules, shares, now, book=book
        )
        self._host.waits = self.waits.book
        service.add(self.waits)

    def _log_waits(self, event: FleetEvent) -> None:
        if self.waits is not None:
            self.waits.log(event)

    def _on_superseded(self) -> None:
        if not self._stopping and self.adapter.machine.fenced:
            self.service.start_new_incarnation()

    def leave(self, until: int) -> None:
        """Sends nothing more and tells the others that this member goes; what it owes is theirs. ``left``
        says when. ``until``: it waits no longer for its ledger's replicas, ns."""
        if self._stopping:
            return
        self._stopping = True
        self.service.carry_out(self.adapter.machine.leave(self._loop.now()))
        self._finish_leaving(until)

    has_left = False

    def _finish_leaving(self, until: int) -> None:
        now = self._loop.now()
        machine = self.adapter.machine
        if not machine.all_committed and now < until:
            self._loop.call_at(now + _LEAVE_CHECK_INTERVAL, self._finish_leaving, until)
            return
        if not machine.owned:
            self.service.carry_out(self.ledgers.close(now, machine.ledger))
        log.info("leaving", owed=len(machine.owned))
        self.service.leave()
        self._wait_sent(until)

    def _wait_sent(self, until: int) -> None:
        now = self._loop.now()
        if self.service.all_sent or now >= until:
            self.has_left = True
        else:
            self._loop.call_at(now + _LEAVE_CHECK_INTERVAL, self._wait_sent, until)

    def on_unmatched_call_back(self, raw: Any) -> None:
        """A worker's word on a call that is not out here."""
        self.adapter.on_unmatched_call_back(raw)

    def close(self) -> None:
        self.service.close()
