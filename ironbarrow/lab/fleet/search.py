"""A model search over the machines that keep ledgers: every interleaving, within bounds.

Its states are those of the very objects that run (``LedgerMachine``: replica, writer, recovery), the messages
under way and what has been observed; its steps deliver any message that is under way (never delivering one
is its loss, delivering it late a pause of its target), double one, let a replica restart without what it
kept, let the time of one member pass, or give an order. States are told apart by their whole content. After
each step the observer checks: one fate a segment, one holder, and that what counted is in the content of
whoever has it, whichever came first.

    python -m ironbarrow.lab.fleet.search [--most STATES]
"""

import argparse
import enum
import pickle
import random
import time
from collections import Counter, deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgspec

from ironbarrow.fleet.api import (
    Action,
    Card,
    Change,
    Claimed,
    Committed,
    Decision,
    Fate,
    Health,
    Incarnation,
    LedgerLocation,
    Member,
    Message,
    Moved,
    Send,
)
from ironbarrow.fleet.file import LedgerRules
from ironbarrow.fleet.invariants import INVARIANTS, InvariantError
from ironbarrow.fleet.ledgers import LedgerMachine
from ironbarrow.fleet.ledgers.messages import Accepted, Learn, LearnAck, Promise
from ironbarrow.fleet.ledgers.proposal import Step
from ironbarrow.fleet.node import Node

LEDGER = "l"
LONG = 1_000_000_000  # ns: a step of time that is longer than the writer's patience
WRITER = Incarnation("w", 1)
REPLICAS = tuple(Incarnation(f"k{i}", 1) for i in range(4))
CLAIMANTS = (Incarnation("c0", 1), Incarnation("c1", 1))


class _View:
    """Members as one of them sees them: all replicas, but those that it holds for dead."""

    def __init__(self, incarnation: Incarnation) -> None:
        self.me = Card(incarnation, "", "")
        self.dead: tuple[str, ...] = ()

    def alive(self) -> Sequence[Member]:
        return [Member(Card(k, "", ""), Health.ALIVE, 0) for k in REPLICAS if k.name not in self.dead]

    def health(self, incarnation: Incarnation) -> Health | None:
        return Health.DEAD if incarnation.name in self.dead else Health.ALIVE

    def card(self, name: str) -> Card | None:
        return None

    def announce_ledgers(self, ledgers: tuple[LedgerLocation, ...]) -> list[Action]:
        return []


class _Searched(LedgerMachine):
    """The machine, with the claimant's own ledger taken as given: that its key is kept is a step."""

    def append_own(self, now: int, changes: Sequence[Change], into: str) -> tuple[str, int, list[Action]]:
        return "own", 1, []


class _Actor:
    """One member: its machine, its clock, its view of the others."""

    def __init__(self, incarnation: Incarnation, rules: LedgerRules) -> None:
        self.incarnation, self.clock = incarnation, 0
        self.asked = False  # it has been told to claim or lead
        self.view = _View(incarnation)
        self.machine = _Searched(incarnation, self.view, rules)


@dataclass(frozen=True)
class Scenario:
    """What may happen, and how often."""

    name: str
    appends: int = 2
    claims: tuple[str, ...] = ("c0", "c1")
    leads: tuple[str, ...] = ()
    doubles: int = 0
    restarts: int = 0
    ticks: int = 0  # over all members, to what they planned next
    sleeps: int = 0  # over all members, of ``LONG``
    changes: int = 0  # replicas that the writer holds for dead


SCENARIOS = (
    Scenario("append and claim", claims=("c0",), doubles=1, restarts=1),
    Scenario("two claimants", appends=1, ticks=1),
    Scenario("replicas change", claims=("c0",), changes=1),
    Scenario("replica restarts", appends=1, restarts=1),
    Scenario("old writer wakes up", appends=1, claims=("c0",), sleeps=2),
    Scenario("leader", appends=1, claims=("c0",), leads=("c1",)),
    Scenario("all of it", doubles=1, restarts=1, ticks=1, sleeps=1, changes=1),
)

# An envelope: who sent it, to whom, what
_Envelope = tuple[Incarnation, Incarnation, Message]


@dataclass(frozen=True)
class _Seen:
    """What the observer has seen so far."""

    kept: int = 0  # appends that counted
    holders: frozenset[tuple[str, frozenset[str]]] = frozenset()  # who claimed, which keys
    fates: frozenset[tuple[int, Decision]] = frozenset()


_State = tuple[tuple[int, ...], tuple[int, ...], tuple[int, ...], _Seen]


class Violation(Exception):  # noqa: N818 - what is looked for, not a failure of the search
    """What must never be was reached; ``trace``: how."""

    def __init__(self, what: str, trace: list[str]) -> None:
        super().__init__(what)
        self.what, self.trace = what, trace


@dataclass
class Found:
    """What a search came to."""

    scenario: str
    states: int
    steps: int
    complete: bool  # all states within the scenario's bounds were seen
    deepest: int
    reached: Counter[str] = field(default_factory=Counter)  # states by what had come about
    violation: Violation | None = None


class Search:
    """Searches one scenario. ``forgetful``: a replica that restarts does so as the incarnation that it was,
    which the program never does."""

    def __init__(self, scenario: Scenario, *, forgetful: bool = False, seed: int = 0) -> None:
        self.scenario, self.forgetful = scenario, forgetful
        self._random = random.Random(seed)
        self._rules = LedgerRules()
        self._actors: list[bytes] = []  # pickled, by number
        self._actor_of: dict[Any, int] = {}  # by content
        self._letters: list[_Envelope] = []
        self._letter_of: dict[_Envelope, int] = {}
        self._done: dict[tuple[int, object], tuple[int, tuple[int, ...], tuple[Any, ...]]] = {}
        self._open: dict[int, tuple[Any, ...]] = {}  # what an actor tells of itself, by number
        self._budget_of = ("appends", "doubles", "restarts", "ticks", "sleeps", "changes")
        incarnations = (WRITER, *REPLICAS, *CLAIMANTS)
        self._names = [incarnation.name for incarnation in incarnations]
        self._start = self._first(incarnations)

    def run(self, most: int = 1 << 62) -> Found:
        """Searches until all states are seen, or so many, or a violation is."""
        found = Found(self.scenario.name, 0, 0, True, 0)
        parents: dict[_State, tuple[_State | None, str]] = {self._start: (None, "start")}
        depth = {self._start: 0}
        frontier = [self._start]
        while frontier:
            if len(parents) >= most:
                found.complete = False
                break
            if self._random.random() < 0.25:
                i = self._random.randrange(len(frontier))
                frontier[i], frontier[-1] = frontier[-1], frontier[i]
            state = frontier.pop()
            for label, make in self._steps(state):
                found.steps += 1
                try:
                    following = make()
                except (Violation, InvariantError) as error:
                    trace = [label]
                    at: _State | None = state
                    while at is not None:
                        at, step = parents[at]
                        trace.append(step)
                    found.violation = Violation(str(error), trace[::-1])
                    found.states, found.complete = len(parents), False
                    return found
                if following not in parents:
                    parents[following] = (state, label)
                    depth[following] = depth[state] + 1
                    frontier.append(following)
                    seen = following[3]
                    found.reached["kept"] += seen.kept > 0
                    found.reached["claimed"] += bool(seen.holders)
                    found.reached["moved"] += any(d.fate is Fate.MOVED for _, d in seen.fates)
        found.states, found.deepest = len(parents), max(depth.values())
        return found

    # Steps

    def _steps(self, state: _State) -> Iterator[tuple[str, Callable[[], _State]]]:
        """All that may happen next, in an order of chance."""
        actors, letters, budget, _ = state
        steps: list[tuple[str, Callable[[], _State]]] = []
        for number in dict.fromkeys(letters):
            sender, to, message = self._letters[number]
            label = f"{sender.name} > {to.name}: {_text(message)}"
            steps.append((label, partial(self._deliver, state, number, False)))
            if budget[1]:
                steps.append((label + " (doubled)", partial(self._deliver, state, number, True)))
        for i, actor in enumerate(actors):
            told = self._open[actor]
            for order in told:
                cost = {"append": 0, "next": 3, "sleep": 4, "dead": 5, "restart": 2}.get(order[0])
                if cost is not None and not budget[cost]:
                    continue
                label = f"{self._names[i]}: {' '.join(map(str, order))}"
                steps.append((label, partial(self._order, state, i, order, cost)))
        self._random.shuffle(steps)
        yield from steps

    def _deliver(self, state: _State, number: int, twice: bool) -> _State:
        actors, letters, budget, seen = state
        left = list(letters)
        if twice:
            budget = (budget[0], budget[1] - 1, *budget[2:])
        else:
            left.remove(number)
        i = self._names.index(self._letters[number][1].name)
        after, sent, news = self._act(actors[i], ("letter", number))
        return self._after(actors, i, after, left, sent, budget, seen, news)

    def _order(self, state: _State, i: int, order: tuple[Any, ...], cost: int | None) -> _State:
        actors, letters, budget, seen = state
        if cost is not None:
            budget = (*budget[:cost], budget[cost] - 1, *budget[cost + 1 :])
        after, sent, news = self._act(actors[i], order)
        return self._after(actors, i, after, list(letters), sent, budget, seen, news)

    def _after(
        self,
        actors: tuple[int, ...],
        i: int,
        after: int,
        letters: list[int],
        sent: tuple[int, ...],
        budget: tuple[int, ...],
        seen: _Seen,
        news: tuple[Any, ...],
    ) -> _State:
        """The state that follows; a Violation if the observer objects."""
        actors = (*actors[:i], after, *actors[i + 1 :])
        letters = [n for n in (*letters, *sent) if not self._stale(actors, n)]
        letters.sort()
        if news:
            seen = _observed(seen, news)
        return actors, tuple(letters), budget, seen

    def _act(self, actor: int, event: tuple[Any, ...]) -> tuple[int, tuple[int, ...], tuple[Any, ...]]:
        """What an actor makes of an event: worked out once, since the machines do the same each time."""
        known = self._done.get((actor, event))
        if known is None:
            known = self._done[actor, event] = self._work_out(pickle.loads(self._actors[actor]), event)
        return known

    def _work_out(
        self, actor: _Actor, event: tuple[Any, ...]
    ) -> tuple[int, tuple[int, ...], tuple[Any, ...]]:
        sends: list[Send] = []
        news: list[Any] = []
        if event[0] == "restart":
            incarnation = (
                actor.incarnation
                if self.forgetful
                else Incarnation(actor.incarnation.name, actor.incarnation.start + 1)
            )
            return self._number(_Actor(incarnation, self._rules)), (), ()
        machine = actor.machine
        actor.asked |= event[0] in ("claim", "lead")
        node = Node(actor.incarnation, sends.append, news.append)
        node.add([machine])
        match event[0]:
            case "letter":
                sender, to, message = self._letters[event[1]]
                node.received(actor.clock, sender, to.start, message)
            case "append":
                n = machine.writers[LEDGER].seq
                node.carry_out(machine.append(actor.clock, LEDGER, [Change(f"a{n + 1}", b"")])[1])
            case "claim":
                node.carry_out(machine.claim(actor.clock, self._at))
            case "lead":
                node.carry_out(machine.lead(actor.clock, self._at))
            case "key kept":
                node.carry_out(
                    machine._deliver_local(actor.clock, machine.recovery.on_committed(actor.clock, "own", 1))
                )
            case "next":
                actor.clock = max(actor.clock, machine.next_at())
                node.ticked(actor.clock)
            case "sleep":
                actor.clock += LONG
                node.ticked(actor.clock)
            case "dead":
                actor.view.dead = (event[1],)
                actor.clock += LONG
                node.ticked(actor.clock)
        machine._notices.clear()  # that they are told again is a doubled message
        letters = []
        for send in sends:
            if isinstance(send.message, Learn):
                news.append(send.message)
            if not isinstance(send.message, LearnAck) and send.to.name in self._names:
                letters.append(self._letter((actor.incarnation, send.to, send.message)))
        told = tuple(n for n in news if isinstance(n, Committed | Claimed | Learn | Moved))
        facts = tuple(_fact(actor.incarnation.name, n) for n in told)
        return self._number(actor), tuple(letters), facts

    def _orders(self, actor: _Actor) -> tuple[tuple[Any, ...], ...]:
        """Which orders make sense to an actor now."""
        name, machine, scenario = actor.incarnation.name, actor.machine, self.scenario
        orders: list[tuple[Any, ...]] = []
        if name[0] == "k":
            return (("restart",),) if actor.incarnation.start == 1 and machine.replica.segments else ()
        writer = machine.writers.get(LEDGER)
        claim = machine.recovery.claims.get(LEDGER)
        if writer is not None:
            if name == "w" or scenario.leads:
                orders.append(("append",))
            if name == "w" and not actor.view.dead:
                orders.append(("dead", writer.at.replicas[0].name))
        elif not actor.asked:
            if name in scenario.claims:
                orders.append(("claim",))
            if name in scenario.leads:
                orders.append(("lead",))
        if any(not key.committed for key in machine.recovery.keys.values()):
            orders.append(("key kept",))
        if writer is not None or claim is not None:
            orders += [("next",), ("sleep",)]
        return tuple(orders)

    def _stale(self, actors: tuple[int, ...], number: int) -> bool:
        """Whether a message can change nothing any more, whenever it comes."""
        _, to, message = self._letters[number]
        if not isinstance(message, Promise | Accepted):
            return False
        key = (actors[self._names.index(to.name)], number, "stale")
        known = self._stales.get(key)
        if known is None:
            actor: _Actor = pickle.loads(self._actors[key[0]])
            writer = actor.machine.writers.get(LEDGER)
            claim = actor.machine.recovery.claims.get(LEDGER)
            proposal = (
                writer._proposal if writer is not None else claim.proposal if claim is not None else None
            )
            known = self._stales[key] = (
                proposal is None
                or message.segment < proposal.at.segment
                or (message.segment == proposal.at.segment and message.ballot < proposal.ballot)
                or (
                    message.segment == proposal.at.segment
                    and message.ballot == proposal.ballot
                    and isinstance(message, Promise)
                    and proposal.step is not Step.SEALING
                )
            )
        return known

    # Numbers for what states are made of

    def _letter(self, envelope: _Envelope) -> int:
        number = self._letter_of.get(envelope)
        if number is None:
            number = self._letter_of[envelope] = len(self._letters)
            self._letters.append(envelope)
        return number

    def _number(self, actor: _Actor) -> int:
        content = (_content(actor.machine), actor.clock, actor.view.dead, actor.incarnation, actor.asked)
        number = self._actor_of.get(content)
        if number is None:
            number = self._actor_of[content] = len(self._actors)
            self._actors.append(pickle.dumps(actor, 5))
            self._open[number] = self._orders(actor)
        return number

    def _first(self, incarnations: Sequence[Incarnation]) -> _State:
        """The writer's ledger is open at its replicas."""
        self._stales: dict[tuple[int, int, str], bool] = {}
        actors = {incarnation.name: _Actor(incarnation, self._rules) for incarnation in incarnations}
        queue: deque[tuple[Incarnation, Action]] = deque()
        queue.extend((WRITER, a) for a in actors["w"].machine.create(0, LEDGER))
        while queue:
            sender, action = queue.popleft()
            if isinstance(action, Send):
                actor = actors[action.to.name]
                queue.extend(
                    (actor.incarnation, a) for a in actor.machine.received(0, sender, action.message)
                )
        self._at = actors["w"].machine.writers[LEDGER].at
        numbers = tuple(self._number(actors[incarnation.name]) for incarnation in incarnations)
        budget = tuple(getattr(self.scenario, name) for name in self._budget_of)
        return numbers, (), budget, _Seen()


def _fact(name: str, news: Any) -> tuple[Any, ...]:
    if isinstance(news, Committed):
        return "kept", name, news.seq
    if isinstance(news, Claimed):
        return "claimed", name, frozenset(news.content)
    if isinstance(news, Learn):
        return "fate", news.segment, news.decision
    return "moved", name, news.at.segment, None if news.content is None else frozenset(news.content)


def _observed(seen: _Seen, facts: tuple[Any, ...]) -> _Seen:
    """What the observer knows now; a Violation if it can't be."""
    kept, holders, fates = seen.kept, set(seen.holders), dict(seen.fates)
    led: list[frozenset[str]] = []
    for fact in facts:
        match fact:
            case ("kept", "w", seq):
                kept = max(kept, seq)
            case ("claimed", name, keys):
                holders.add((name, keys))
            case ("fate", segment, decision):
                if fates.setdefault(segment, decision) != decision:
                    raise Violation(f"one fate a segment: {segment}: {fates[segment]}, {decision}", [])
            case ("moved", _, _, keys) if keys is not None:
                led.append(keys)
    if len({name for name, _ in holders}) > 1:
        raise Violation(f"one holder: {sorted(name for name, _ in holders)}", [])
    wanted = {f"a{i + 1}" for i in range(kept)}
    for keys in (*(keys for _, keys in holders), *led):
        if not wanted <= keys:
            raise Violation(f"what counted is in the content: {sorted(wanted)} in {sorted(keys)}", [])
    return _Seen(kept, frozenset(holders), frozenset(fates.items()))


_PASSED = frozenset(
    (
        "_members",
        "_rules",
        "_host",
        "counts",
        "last_used",
        "_is_alive",
        "me",
        "_notices",
        "_published",
        "_sweep_at",
    )
)
_SLOTS: dict[type, tuple[str, ...] | None] = {}


def _content(value: Any) -> Any:
    """All that a machine holds, as plain and comparable values; what has no part in what it does is left
    out."""
    kind = type(value)
    if kind in (int, str, bytes, bool, type(None)) or isinstance(value, enum.Enum | msgspec.Struct):
        return value
    if kind in (list, tuple, deque):
        return tuple([_content(v) for v in value])
    if isinstance(value, dict):
        return tuple(sorted(((k, _content(v)) for k, v in value.items()), key=_first_of))
    if kind in (set, frozenset):
        return frozenset(value)
    slots = _SLOTS.get(kind)
    if kind not in _SLOTS:
        slots = _SLOTS[kind] = getattr(kind, "__slots__", None)
    names = slots if slots is not None else sorted(value.__dict__)
    return tuple([_content(getattr(value, name)) for name in names if name not in _PASSED])


def _first_of(pair: tuple[Any, Any]) -> Any:
    return pair[0]


def _text(message: Message) -> str:
    fields = [
        f"{name}={value}" for name, value in msgspec.structs.asdict(message).items() if name != "ledger"
    ]
    return f"{type(message).__name__}({', '.join(fields)})"


def main() -> None:
    """Searches all scenarios; ends with 1 and the trace if one has a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=60_000, help="states of a scenario")
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args()
    INVARIANTS.fatal = True
    total = 0
    for scenario in SCENARIOS:
        began = time.monotonic()
        found = Search(scenario, seed=options.seed).run(options.most)
        total += found.states
        print(
            f"{found.scenario:20} {found.states:8} states {found.steps:9} steps, depth {found.deepest:3},"
            f" {'all' if found.complete else 'cut'}, {time.monotonic() - began:5.1f} s,"
            f" {dict(found.reached)}",
            flush=True,
        )
        if found.violation is not None:
            print(found.violation.what, *found.violation.trace, sep="\n  ")
            raise SystemExit(1)
    print(f"{total} states")


if __name__ == "__main__":
    main()
