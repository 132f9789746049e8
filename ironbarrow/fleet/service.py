"""A member of a fleet on the event loop: its links, and the machines that use them."""

import socket
import time
from collections.abc import Callable, Iterable

import structlog

from ironbarrow.fleet.api import (
    NEVER,
    Action,
    Card,
    FleetEvent,
    Incarnation,
    Machine,
    MemberChanged,
    Message,
    Send,
)
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import Fleet
from ironbarrow.fleet.links import Links
from ironbarrow.fleet.members import IncarnationReplaced, MemberMachine
from ironbarrow.fleet.node import Node
from ironbarrow.runtime import sockets
from ironbarrow.runtime.clock import Timer
from ironbarrow.runtime.loop import MS, SECOND, Loop

log = structlog.get_logger()
# an incarnation that is replaced within this time of its start begins another one
_EARLY_REPLACEMENT_LIMIT = 10 * SECOND
_RETRY_DELAY = 50 * MS  # after a machine has raised an exception


class FleetService:
    """A member of a fleet, over all its incarnations in this process.

    ``site``: the member's site if the fleet file names none; ``front``: the address for clients and workers.
    Raises an OSError if it can't listen at the file's address."""

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
        """``codec``: for example one that counts the messages; None: a plain one."""
        self._loop, self.fleet, self.name = loop, fleet, name
        self.site, self.front = fleet.site or site, front
        self._seeds = {seed: address for seed, _, address in (text.partition("=") for text in fleet.seeds)}
        self._listeners: list[Callable[[FleetEvent], None]] = []
        self._on_new_incarnation: list[Callable[[FleetService], None]] = []
        self._timer: Timer | None = None
        self._timer_due = NEVER
        self._retry_at = 0
        self._schedule_pending = False
        self._closed = False
        self.codec = codec or Codec(())
        address = sockets.parse_address(fleet.listen, 0)
        listener = listener or sockets.listen(address)
        host = address[0]
        self.address = fleet.address or f"{host}:{listener.getsockname()[1]}"
        self._start_incarnation(time.time_ns(), ())
        self.links = Links(
            loop,
            listener,
            self.codec,
            self.incarnation,
            fleet.links,
            self._address_of,
            self._on_message,
            self._on_link_failed,
        )

    def _start_incarnation(self, start: int, known: Iterable[Card]) -> None:
        self.incarnation = Incarnation(self.name, start)
        self._started_at = self._loop.now()
        self.node = Node(self.incarnation, self._send, self._on_event)
        card = Card(self.incarnation, self.address, self.site, self.front, version=1)
        self.members = MemberMachine(card, self.fleet.members, self._seeds, self._started_at, known)
        self.add(self.members)

    # Calls by the process

    def add(self, *machines: Machine) -> None:
        """Adds machines to this incarnation. Raises a ValueError if two handle the same message."""
        self.codec.register(kind for machine in machines for kind in machine.handles)
        self.node.add(machines)
        self._schedule_soon()

    def carry_out(self, actions: Iterable[Action]) -> None:
        """Carries out actions that a machine has returned to a direct call."""
        self.node.carry_out(actions)
        self._schedule_soon()

    def subscribe(self, callback: Callable[[FleetEvent], None]) -> None:
        """Registers a callback for all events of all machines, in order, in all incarnations."""
        self._listeners.append(callback)

    def on_new_incarnation(self, callback: Callable[["FleetService"], None]) -> None:
        """Registers a callback for the start of a new incarnation, which has to add its machines again."""
        self._on_new_incarnation.append(callback)

    def start_new_incarnation(self, after: int = 0) -> None:
        """Begins another incarnation in this process, with a start later than ``after`` (Unix ns).

        The fenced incarnation ends; only the cards of the live members are carried over."""
        start = max(time.time_ns(), self.incarnation.start + 1, after + 1)
        known = [
            member.card for member in self.members.alive() if member.card.incarnation != self.incarnation
        ]
        log.warning("a new incarnation begins", was=str(self.incarnation), start=start)
        self.codec.clear()
        self._start_incarnation(start, known)
        self.links.incarnation = self.incarnation
        for callback in self._on_new_incarnation:
            callback(self)

    def leave(self) -> None:
        """Tells the other members that this one is leaving. Call ``close`` once ``all_sent`` is true."""
        self.carry_out(self.members.leave(self._loop.now()))

    @property
    def all_sent(self) -> bool:
        """Whether no message waits to be sent."""
        return not self.links.unsent

    def close(self) -> None:
        """Closes all links at once; to the other members it looks like a crash."""
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

    def _on_message(self, sender: Incarnation, to_start: int, message: Message) -> None:
        self.node.received(self._loop.now(), sender, to_start, message)
        self._schedule_soon()

    def _on_link_failed(self, name: str) -> None:
        if not self._closed:
            self.carry_out(self.members.connection_lost(self._loop.now(), name))

    def _on_event(self, event: FleetEvent) -> None:
        if isinstance(event, MemberChanged):
            member = event.member
            log.info(
                "member", name=str(member.card.incarnation), site=member.card.site, health=member.health.value
            )
        for listener in self._listeners:
            listener(event)
        if isinstance(event, IncarnationReplaced):
            # After the clock was set back, the others take this incarnation for an older one than its
            # predecessor; one with a later start replaces it. That is tried only soon after the start:
            # otherwise two processes of one name would replace each other's incarnations for ever.
            if self._loop.now() - self._started_at < _EARLY_REPLACEMENT_LIMIT:
                self._loop.call_soon(self.start_new_incarnation, event.by.start)
            else:
                log.error("another process uses this name", name=self.name, incarnation=str(event.by))

    def _schedule_soon(self) -> None:
        if not self._schedule_pending and not self._closed:
            self._schedule_pending = True
            self._loop.call_soon(self._schedule)

    def _schedule(self) -> None:
        """Sets the timer for the machines' next time; called once in a turn of the loop, however many
        messages it has brought."""
        self._schedule_pending = False
        if self._closed:
            return
        due = max(self.node.next_at(), self._retry_at)
        if due == self._timer_due:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_due = due
        if due < NEVER:
            self._timer = self._loop.call_at(due, self._tick)

    def _tick(self) -> None:
        self._timer, self._timer_due = None, NEVER
        now = self._loop.now()
        try:
            self.node.ticked(now)
        except Exception:
            # a machine that fails stays due: without a delay the loop would spin
            self._retry_at = now + _RETRY_DELAY
            raise
        finally:
            self._schedule_soon()
