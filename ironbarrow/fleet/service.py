"""One member of a fleet on the program's loop: its links, and the machines that use them."""

import socket
import time
from collections.abc import Callable, Iterable

import structlog

from ironbarrow.fleet.api import NEVER, Action, Card, Incarnation, Machine, MemberChanged, Message, News, Send
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import Fleet
from ironbarrow.fleet.links import Links
from ironbarrow.fleet.members import IncarnationReplaced, MemberMachine
from ironbarrow.fleet.node import Node
from ironbarrow.runtime import sockets
from ironbarrow.runtime.clock import Timer
from ironbarrow.runtime.loop import MS, SECOND, Loop

log = structlog.get_logger()
_RENEW_WITHIN = 10 * SECOND
_AFTER_FAILURE = 50 * MS


class FleetService:
    """A member. ``site``: where it is, if the file does not say; ``front``: its clients' address. An
    OSError if it can't listen where the file says."""

    def __init__(
        self,
        loop: Loop,
        fleet: Fleet,
        name: str,
        site: str,
        front: str,
        *,
        listener: socket.socket | None = None,
        codec: Codec | None = None,
    ) -> None:
        """``codec``: one that also counts what passes, for instance; None: a plain one."""
        self._loop, self.fleet, self.name = loop, fleet, name
        self.site, self.front = fleet.site or site, front
        self._seeds = {seed: address for seed, _, address in (text.partition("=") for text in fleet.seeds)}
        self._listeners: list[Callable[[News], None]] = []
        self._on_renewed: list[Callable[[FleetService], None]] = []
        self._timer: Timer | None = None
        self._planned_at = NEVER
        self._not_before = 0
        self._planning = False
        self._closed = False
        self.codec = codec or Codec(())
        address = sockets.parse_address(fleet.listen, 0)
        listener = listener or sockets.listen(address)
        host = address[0]
        self.address = fleet.address or f"{host}:{listener.getsockname()[1]}"
        self._begin(time.time_ns(), ())
        self.links = Links(
            loop,
            listener,
            self.codec,
            self.incarnation,
            fleet.links,
            self._address_of,
            self._received,
            self._broke,
        )

    def _begin(self, start: int, known: Iterable[Card]) -> None:
        self.incarnation = Incarnation(self.name, start)
        self._began = self._loop.now()
        self.node = Node(self.incarnation, self._send, self._told)
        card = Card(self.incarnation, self.address, self.site, self.front, version=1)
        self.members = MemberMachine(card, self.fleet.members, self._seeds, self._began, known)
        self.add(self.members)

    # What the process does with it

    def add(self, *machines: Machine) -> None:
        """Adds machines to this incarnation; a ValueError if two want the same message."""
        self.codec.learn(kind for machine in machines for kind in machine.handles)
        self.node.add(machines)
        self._plan_soon()

    def order(self, actions: Iterable[Action]) -> None:
        """Carries out what a machine answered to an order."""
        self.node.carry_out(actions)
        self._plan_soon()

    def on_news(self, callback: Callable[[News], None]) -> None:
        """Calls for each news of any machine, in order, over all incarnations."""
        self._listeners.append(callback)

    def on_renewed(self, callback: Callable[["FleetService"], None]) -> None:
        """Calls when a new incarnation has begun: the machines of the other parts are added anew there."""
        self._on_renewed.append(callback)

    def renew(self, over: int = 0) -> None:
        """Begins another incarnation in this process, later than ``over``: what was fenced off is over,
        nothing of it is kept but who the others are."""
        start = max(time.time_ns(), self.incarnation.start + 1, over + 1)
        known = [
            member.card for member in self.members.alive() if member.card.incarnation != self.incarnation
        ]
        log.warning("a new incarnation begins", was=str(self.incarnation), start=start)
        self.codec.forget()
        self._begin(start, known)
        self.links.incarnation = self.incarnation
        for callback in self._on_renewed:
            callback(self)

    def leave(self) -> None:
        """Tells the others that this member goes in good order; ``close`` follows once ``sent``."""
        self.order(self.members.leave(self._loop.now()))

    @property
    def sent(self) -> bool:
        """Whether nothing waits to be sent."""
        return not self.links.unsent

    def close(self) -> None:
        """Ends at once, as a crash does for the others."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self.links.close()

    # Between the loop and the machines

    def _address_of(self, name: str) -> str:
        route = self.fleet.routes.get(name)
        if route is not None:
            return route
        card = self.members.card(name)
        return card.address if card is not None else self._seeds.get(name, "")

    def _send(self, action: Send) -> None:
        self.links.send(action)

    def _received(self, sender: Incarnation, to_start: int, message: Message) -> None:
        self.node.received(self._loop.now(), sender, to_start, message)
        self._plan_soon()

    def _broke(self, name: str) -> None:
        if not self._closed:
            self.order(self.members.connection_lost(self._loop.now(), name))

    def _told(self, news: News) -> None:
        if isinstance(news, MemberChanged):
            member = news.member
            log.info(
                "member", name=str(member.card.incarnation), site=member.card.site, health=member.health.value
            )
        for listener in self._listeners:
            listener(news)
        if isinstance(news, IncarnationReplaced):
            # danger: a clock that was set back makes this incarnation look like an earlier one than its last;
            # two processes of one name would renew against each other for ever
            if self._loop.now() - self._began < _RENEW_WITHIN:
                self._loop.soon(self.renew, news.by.start)
            else:
                log.error("another process goes by this name", name=self.name, incarnation=str(news.by))

    def _plan_soon(self) -> None:
        if not self._planning and not self._closed:
            self._planning = True
            self._loop.soon(self._plan)

    def _plan(self) -> None:
        """Once in a turn of the loop, however many messages it brought."""
        self._planning = False
        if self._closed:
            return
        due = max(self.node.next_at(), self._not_before)
        if due == self._planned_at:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._planned_at = due
        if due < NEVER:
            self._timer = self._loop.call_at(due, self._tick)

    def _tick(self) -> None:
        self._timer, self._planned_at = None, NEVER
        now = self._loop.now()
        try:
            self.node.ticked(now)
        except Exception:
            # danger: what fails is due again at once, and the loop would spin
            self._not_before = now + _AFTER_FAILURE
            raise
        finally:
            self._plan_soon()
