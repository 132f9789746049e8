"""A dispatcher as a member of its fleet: puts together the member, its ledgers and its take-over machine.

Imported by the program only if a fleet file is configured.
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
from ironbarrow.fleet.takeover.adapter import CancellingInvoker, TakeoverAdapter, log_steps, takeover_rules
from ironbarrow.fleet.takeover.machine import Takeover
from ironbarrow.runtime.loop import MS, Loop
from ironbarrow.runtime.sockets import Address

if TYPE_CHECKING:
    from ironbarrow.fleet.starvation.machine import StarvationMachine

log = structlog.get_logger()

_LEAVE_CHECK_INTERVAL = 20 * MS  # between checks whether all changes are committed and all messages sent


class FleetParticipant:
    """A dispatcher as a member of its fleet.

    Raises a FleetError or ValueError for an unusable fleet file or ``BALANCER_FAULT``, and an OSError if it
    can't listen at the file's address."""

    def __init__(
        self,
        loop: Loop,
        host: Host,
        invoker: CancellingInvoker,
        path: Path,
        name: str,
        site: str,
        front: Address,
        *,
        make_service: Callable[[Loop, Fleet, str, str, str], FleetService] = FleetService,
    ) -> None:
        """``make_service``: creates the fleet service; the laboratory's own counts or cuts its links."""
        self.fleet: Fleet = file.load(path, name)
        on_fault_point = faults.from_environment(os.environ)
        self._loop, self._host, self._stopping = loop, host, False
        self.waits: StarvationMachine | None = None
        self._rules = takeover_rules(host.settings, self.fleet, on_fault_point, log_steps(host.event_log))
        self.service = make_service(loop, self.fleet, name, site, "{}:{}".format(*front))
        self.adapter = TakeoverAdapter(loop, host, invoker, self.service.carry_out)
        self.adapter.on_superseded = lambda: loop.call_soon(self._on_superseded)
        self._add_machines(self.service)
        self.service.on_new_incarnation(self._add_machines)
        self.service.subscribe(self.adapter.on_event)
        self.service.subscribe(self._log_waits)
        if self.fleet.rollout is not None:
            from ironbarrow.fleet.rollout_participant import RolloutParticipant

            RolloutParticipant(loop, host, self.service, self.fleet.rollout, lambda: self.ledgers)

    def _add_machines(self, service: FleetService) -> None:
        """Adds the machines of a new incarnation, which continues for the clients of the earlier one."""
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
            if not earlier.fenced:  # another process used this name, or this process's clock was set back
                service.carry_out(earlier.supersede(now))
            service.carry_out(machine.inherit(now, earlier))

    def _compare_waits(self, service: FleetService, rules: StarvationRules, now: int) -> None:
        """Adds the machine that compares this dispatcher's waits with those of the others."""
        from ironbarrow.fleet.starvation.machine import StarvationMachine, TenantShares

        settings = self._host.settings
        shares = TenantShares({t.name: t.allowance_per_s / settings.dispatchers for t in settings.tenants})
        if rules.move and self.waits is None:
            log.warning("starvation.move: jobs are not moved yet, only verdicts are given")
        book = self.waits.recorder if self.waits is not None else None
        self.waits = StarvationMachine(
            service.members.me, service.members, self.ledgers, rules, shares, now, recorder=book
        )
        self._host.wait_observer = self.waits.recorder
        service.add(self.waits)

    def _log_waits(self, event: FleetEvent) -> None:
        if self.waits is not None:
            self.waits.log(event)

    def _on_superseded(self) -> None:
        if not self._stopping and self.adapter.machine.fenced:
            self.service.start_new_incarnation()

    def leave(self, until: int) -> None:
        """Stops sending attempts and tells the other members that this one leaves; they take over its jobs.

        ``has_left`` becomes True when that is done. ``until``: when to stop waiting for the replicas, ns."""
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
        """Handles a worker's call-back that matches no attempt of this process."""
        self.adapter.on_unmatched_call_back(raw)

    def close(self) -> None:
        """Closes all links at once, without telling the other members."""
        self.service.close()
