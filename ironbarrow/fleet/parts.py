"""The optional parts of a dispatcher in its fleet: rollouts of the workers' runtime, verdicts on starvation.

They are on where the fleet file has their table, live on the member's ledgers and news, and are begun anew
with each of its lives. What is not asked for is not imported.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

import structlog

from ironbarrow.core.host import Host
from ironbarrow.fleet.api import Ledgers, News
from ironbarrow.fleet.service import FleetService
from ironbarrow.runtime.loop import Loop

if TYPE_CHECKING:
    from ironbarrow.fleet.rolling import Rolling
    from ironbarrow.fleet.starvation.machine import StarvationMachine
    from ironbarrow.fleet.starvation.verdict import StarvationBegan

log = structlog.get_logger()


class Parts:
    """They are told what the host and the other members do. A FleetError for a plan that can't be used."""

    rolling: "Rolling | None" = None
    starvation: "StarvationMachine | None" = None

    def __init__(self, loop: Loop, host: Host, service: FleetService, ledgers: Callable[[], Ledgers]) -> None:
        """``ledgers``: those of the life that the service is in."""
        self._loop, self._host, self._service, self._ledgers = loop, host, service, ledgers
        if service.fleet.rollout is not None:
            from ironbarrow.fleet.rolling import Rolling

            self.rolling = Rolling(loop, host, service, service.fleet.rollout)
        self._begin(service)
        service.on_renewed(self._begin)
        service.on_news(self._told)

    def _begin(self, service: FleetService) -> None:
        if self.rolling is not None:
            self.rolling.begin(self._ledgers())
        rules = service.fleet.starvation
        if rules is not None:
            from ironbarrow.fleet.starvation.machine import Shares, StarvationMachine

            if rules.move:
                log.warning("starvation.move is set and has no effect: held jobs are not transferred yet")
            now, members = self._loop.now(), service.members
            machine = StarvationMachine(members.me, members, self._ledgers(), rules, Shares(), now)
            self.starvation = machine
            service.add(machine)
            self._host.waits = machine.book

    def _told(self, news: News) -> None:
        if self.rolling is not None:
            self.rolling.told(news)
        if self.starvation is not None:
            self._verdict(news)

    def _verdict(self, news: News) -> None:
        from ironbarrow.fleet.starvation.verdict import StarvationBegan, StarvationEnded

        if isinstance(news, StarvationBegan):
            self._began(news)
        elif isinstance(news, StarvationEnded):
            lasted = (news.ended_at - news.began_at) / 1e9
            log.info(
                "starvation ended",
                tenant=news.tenant,
                partition=news.partition,
                lasted_s=round(lasted, 1),
                why=news.why,
            )

    def _began(self, news: "StarvationBegan") -> None:
        found = news.evidence
        log.warning(
            "starvation began",
            tenant=news.tenant,
            job_class=found.job_class,
            partition=news.partition,
            jobs=found.jobs,
            wait_ms=round(found.wait / 1e3, 1),
            times_elsewhere=round(found.times_elsewhere, 2),
            times_others=round(found.times_others, 2),
            p_elsewhere=found.p_elsewhere,
            p_others=found.p_others,
            seen=round(found.seen, 2),
        )
        if self.rolling is not None:
            self.rolling.starved(news.tenant, news.partition, news.began_at)
