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
from ironbarrow.fleet.api import News
from ironbarrow.fleet.file import Fleet, StarvationRules
from ironbarrow.fleet.ledgers import LedgerMachine
from ironbarrow.fleet.service import FleetService
from ironbarrow.fleet.takeover import faults
from ironbarrow.fleet.takeover.machine import Takeover
from ironbarrow.fleet.takeover.work import Back, Work, rules_of
from ironbarrow.runtime.loop import MS, Loop
from ironbarrow.runtime.sockets import Address

if TYPE_CHECKING:
    from ironbarrow.fleet.starvation.machine import StarvationMachine

log = structlog.get_logger()

_LEAVING = 20 * MS  # between two looks whether all is written down and said


class Process:
    """A dispatcher of a fleet. A FleetError or ValueError for a file or a fault that can't be used, an
    OSError if it can't listen where the file says."""

    def __init__(
        self,
        loop: Loop,
        host: Host,
        back: Back,
        path: Path,
        name: str,
        site: str,
        front: Address,
        *,
        make_service: Callable[[Loop, Fleet, str, str, str], FleetService] = FleetService,
    ) -> None:
        """``make_service``: makes the member on the loop; a laboratory's own may count or cut its links."""
        self.fleet: Fleet = file.load(path, name)
        passed = faults.from_environment(os.environ)
        self._loop, self._host, self._stopping = loop, host, False
        self.waits: StarvationMachine | None = None
        self._rules = rules_of(host.settings, self.fleet, passed)
        self.service = make_service(loop, self.fleet, name, site, "{}:{}".format(*front))
        self.work = Work(loop, host, back, self.service.order)
        self.work.superseded = lambda: loop.soon(self._superseded)
        self._begin(self.service)
        self.service.on_renewed(self._begin)
        self.service.on_news(self.work.told)
        self.service.on_news(self._told)
        if self.fleet.rollout is not None:
            from ironbarrow.fleet.rolling import Rolling

            Rolling(loop, host, self.service, self.fleet.rollout, lambda: self.ledgers)

    def _begin(self, service: FleetService) -> None:
        """Another incarnation: its machines, and what clients of the last one still wait for."""
        now = self._loop.now()
        earlier: Takeover | None = getattr(self.work, "machine", None)
        self.ledgers = LedgerMachine(service.incarnation, service.members, self.fleet.ledgers)
        machine = Takeover(now, service.incarnation, service.members, self.ledgers, self._rules)
        service.add(self.ledgers, machine)
        if self.fleet.starvation is not None:
            self._compare_waits(service, self.fleet.starvation, now)
        self.work.machine = machine
        service.order(machine.begin(now))
        if earlier is not None:
            if not earlier.fenced:  # another process went by this name, or this one's clock was set back
                service.order(earlier.supersede(now))
            service.order(machine.succeed(now, earlier))

    def _compare_waits(self, service: FleetService, rules: StarvationRules, now: int) -> None:
        """This dispatcher's waits are compared with those at the others."""
        from ironbarrow.fleet.starvation.machine import StarvationMachine, TenantShares

        settings = self._host.settings
        shares = TenantShares({t.name: t.allowance_per_s / settings.dispatchers for t in settings.tenants})
        if rules.move and self.waits is None:
            log.warning("starvation.move: jobs are not moved yet, verdicts alone are given")
        book = self.waits.recorder if self.waits is not None else None
        self.waits = StarvationMachine(
            service.members.me, service.members, self.ledgers, rules, shares, now, recorder=book
        )
        self._host.waits = self.waits.recorder
        service.add(self.waits)

    def _told(self, news: News) -> None:
        if self.waits is not None:
            self.waits.log(news)

    def _superseded(self) -> None:
        if not self._stopping and self.work.machine.fenced:
            self.service.renew()

    def leave(self, until: int) -> None:
        """Sends nothing more and tells the others that this member goes; what it owes is theirs. ``left``
        says when. ``until``: it waits no longer for its ledger's replicas, ns."""
        if self._stopping:
            return
        self._stopping = True
        self.service.order(self.work.machine.leave(self._loop.now()))
        self._leave(until)

    left = False

    def _leave(self, until: int) -> None:
        now = self._loop.now()
        machine = self.work.machine
        if not machine.settled and now < until:
            self._loop.call_at(now + _LEAVING, self._leave, until)
            return
        if not machine.held:
            self.service.order(self.ledgers.close(now, machine.ledger))
        log.info("leaving", owed=len(machine.held))
        self.service.leave()
        self._wait_sent(until)

    def _wait_sent(self, until: int) -> None:
        now = self._loop.now()
        if self.service.sent or now >= until:
            self.left = True
        else:
            self._loop.call_at(now + _LEAVING, self._wait_sent, until)

    def called_back(self, raw: Any) -> None:
        """A worker's word on a call that is not out here."""
        self.work.stray(raw)

    def close(self) -> None:
        self.service.close()
