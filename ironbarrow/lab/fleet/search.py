"""Model checking of the ledger machines: searches all interleavings within bounds.

A state consists of the real objects (``LedgerMachine``: replica, writer, recovery), the messages in flight
and what the observer has seen. A step delivers a message in flight, duplicates one, restarts a replica
without its data, advances one member's clock, or gives a command. Lost messages need no step of their own: a
message that is never delivered is lost, and one delivered late is one whose target was paused. States are
compared by their whole content. After each step the observer checks the invariants: one decision per segment
(*one fate a segment*), *one holder*, and that *what counted is in the content*: a member that claims or moves
a ledger gets every committed change, whether the commit or the claim is observed first.

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
LONG_DELAY = 1_000_000_000  # ns; exceeds the writer's timeouts
WRITER = Incarnation("w", 1)
REPLICAS = tuple(Incarnation(f"k{i}", 1) for i in range(4))
CLAIMANTS = (Incarnation("c0", 1), Incarnation("c1", 1))


class _View:
    """One member's view of the others: all replicas, except those that it sees as dead."""

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


class _SearchedMachine(LedgerMachine):
    """The machine without the claimant's own ledger: the commit of the claim's key is a step instead."""

    def append_own(self, now: int, changes: Sequence[Change], into: str) -> tuple[str, int, list[Action]]:
        return "own", 1, []


class _Actor:
    """One member: its machine, its clock and its view of the others."""

    def __init__(self, incarnation: Incarnation, rules: LedgerRules) -> None:
        self.incarnation, self.clock = incarnation, 0
        self.commanded = False  # whether it was commanded to claim or to lead
        self.view = _View(incarnation)
        self.machine = _SearchedMachine(incarnation, self.view, rules)


@dataclass(frozen=True)
class Scenario:
    """Bounds of a search: which steps may happen, and how often. Limits without a unit are counts."""

    name: str
    appends: int = 2
    claims: tuple[str, ...] = ("c0", "c1")
    leads: tuple[str, ...] = ()
    doubles: int = 0
    restarts: int = 0
    ticks: int = 0  # over all members, to a machine's next timer
    sleeps: int = 0  # over all members, of ``LONG_DELAY``
    changes: int = 0  # replicas that the writer sees as dead


SCENARIOS = (
    Scenario("append and claim", claims=("c0",), doubles=1, restarts=1),
    Scenario("two claimants", appends=1, ticks=1),
    Scenario("replicas change", claims=("c0",), changes=1),
    Scenario("replica restarts", appends=1, restarts=1),
    Scenario("old writer wakes up", appends=1, claims=("c0",), sleeps=2),
    Scenario("leader", appends=1, claims=("c0",), leads=("c1",)),
    Scenario("all of it", doubles=1, restarts=1, ticks=1, sleeps=1, changes=1),
)

# Sender, target, message
_Envelope = tuple[Incarnation, Incarnation, Message]


@dataclass(frozen=True)
class _Observation:
    """What the observer has seen so far."""

    committed: int = 0  # number of committed appends
    holders: frozenset[tuple[str, frozenset[str]]] = frozenset()  # claimants and the keys that each got
    fates: frozenset[tuple[int, Decision]] = frozenset()


_State = tuple[tuple[int, ...], tuple[int, ...], tuple[int, ...], _Observation]


class Violation(Exception):  # noqa: N818 - what is looked for, not a failure of the search
    """A state that breaks an invariant was reached. ``trace``: the labels of the steps that lead to it."""

    def __init__(self, what: str, trace: list[str]) -> None:
        super().__init__(what)
        self.what, self.trace = what, trace


@dataclass
class SearchResult:
    """The result of a search."""

    scenario: str
    states: int
    steps: int
    complete: bool  # whether all states within the scenario's bounds were visited
    max_depth: int
    reached: Counter[str] = field(default_factory=Counter)  # number of states in which it had happened
    violation: Violation | None = None


class Search:
    """Searches one scenario.

    ``reuse_incarnations``: a replica that has lost its data restarts as its former incarnation, which the
    real program never does; for a test that the search detects this fault."""

    def __init__(self, scenario: Scenario, *, reuse_incarnations: bool = False, seed: int = 0) -> None:
        self.scenario, self.reuse_incarnations = scenario, reuse_incarnations
        self._random = random.Random(seed)
        self._rules = LedgerRules()
        self._actors: list[bytes] = []  # pickled, by number
        self._actor_numbers: dict[Any, int] = {}  # by content
        self._envelopes: list[_Envelope] = []
        self._envelope_numbers: dict[_Envelope, int] = {}
        self._transitions: dict[tuple[int, object], tuple[int, tuple[int, ...], tuple[Any, ...]]] = {}
        self._commands_of: dict[int, tuple[Any, ...]] = {}  # possible commands, by actor number
        self._budget_fields = ("appends", "doubles", "restarts", "ticks", "sleeps", "changes")
        incarnations = (WRITER, *REPLICAS, *CLAIMANTS)
        self._names = [incarnation.name for incarnation in incarnations]
        self._start = self._initial_state(incarnations)

    def run(self, max_states: int = 1 << 62) -> SearchResult:
        """Searches until all states or ``max_states`` were visited, or a violation was found."""
        result = SearchResult(self.scenario.name, 0, 0, True, 0)
        parents: dict[_State, tuple[_State | None, str]] = {self._start: (None, "start")}
        depth = {self._start: 0}
        frontier = [self._start]
        while frontier:
            if len(parents) >= max_states:
                result.complete = False
                break
            if self._random.random() < 0.25:
                i = self._random.randrange(len(frontier))
                frontier[i], frontier[-1] = frontier[-1], frontier[i]
            state = frontier.pop()
            for label, step in self._steps(state):
                result.steps += 1
                try:
                    following = step()
                except (Violation, InvariantError) as error:
                    trace = [label]
                    at: _State | None = state
                    while at is not None:
                        at, previous_label = parents[at]
                        trace.append(previous_label)
                    result.violation = Violation(str(error), trace[::-1])
                    result.states, result.complete = len(parents), False
                    return result
                if following not in parents:
                    parents[following] = (state, label)
                    depth[following] = depth[state] + 1
                    frontier.append(following)
                    observation = following[3]
                    result.reached["committed"] += observation.committed > 0
                    result.reached["claimed"] += bool(observation.holders)
                    result.reached["moved"] += any(d.fate is Fate.MOVED for _, d in observation.fates)
        result.states, result.max_depth = len(parents), max(depth.values())
        return result

    # Steps

    def _steps(self, state: _State) -> Iterator[tuple[str, Callable[[], _State]]]:
        """Yields the label and the function of each possible step, in random order."""
        actors, in_flight, budget, _ = state
        steps: list[tuple[str, Callable[[], _State]]] = []
        for number in dict.fromkeys(in_flight):
            sender, to, message = self._envelopes[number]
            label = f"{sender.name} > {to.name}: {_describe(message)}"
            steps.append((label, partial(self._deliver, state, number, False)))
            if budget[1]:
                steps.append((label + " (doubled)", partial(self._deliver, state, number, True)))
        for i, actor in enumerate(actors):
            commands = self._commands_of[actor]
            for command in commands:
                cost = {"append": 0, "next": 3, "sleep": 4, "dead": 5, "restart": 2}.get(command[0])
                if cost is not None and not budget[cost]:
                    continue
                label = f"{self._names[i]}: {' '.join(map(str, command))}"
                steps.append((label, partial(self._command, state, i, command, cost)))
        self._random.shuffle(steps)
        yield from steps

    def _deliver(self, state: _State, number: int, twice: bool) -> _State:
        actors, in_flight, budget, observation = state
        remaining = list(in_flight)
        if twice:
            budget = (budget[0], budget[1] - 1, *budget[2:])
        else:
            remaining.remove(number)
        i = self._names.index(self._envelopes[number][1].name)
        after, sent, events = self._act(actors[i], ("message", number))
        return self._next_state(actors, i, after, remaining, sent, budget, observation, events)

    def _command(self, state: _State, i: int, command: tuple[Any, ...], cost: int | None) -> _State:
        actors, in_flight, budget, observation = state
        if cost is not None:
            budget = (*budget[:cost], budget[cost] - 1, *budget[cost + 1 :])
        after, sent, events = self._act(actors[i], command)
        return self._next_state(actors, i, after, list(in_flight), sent, budget, observation, events)

    def _next_state(
        self,
        actors: tuple[int, ...],
        i: int,
        after: int,
        in_flight: list[int],
        sent: tuple[int, ...],
        budget: tuple[int, ...],
        observation: _Observation,
        events: tuple[Any, ...],
    ) -> _State:
        """Returns the state after a step. Raises Violation if it breaks an invariant."""
        actors = (*actors[:i], after, *actors[i + 1 :])
        in_flight = [n for n in (*in_flight, *sent) if not self._is_stale(actors, n)]
        in_flight.sort()
        if events:
            observation = _observe(observation, events)
        return actors, tuple(in_flight), budget, observation

    def _act(self, actor: int, event: tuple[Any, ...]) -> tuple[int, tuple[int, ...], tuple[Any, ...]]:
        """Applies an event to an actor: its next state, sent messages and observed facts, by number.

        The results are cached, since the machines are deterministic."""
        cached = self._transitions.get((actor, event))
        if cached is None:
            cached = self._transitions[actor, event] = self._apply(pickle.loads(self._actors[actor]), event)
        return cached

    def _apply(self, actor: _Actor, event: tuple[Any, ...]) -> tuple[int, tuple[int, ...], tuple[Any, ...]]:
        sends: list[Send] = []
        events: list[Any] = []
        if event[0] == "restart":
            incarnation = (
                actor.incarnation
                if self.reuse_incarnations
                else Incarnation(actor.incarnation.name, actor.incarnation.start + 1)
            )
            return self._number_of_actor(_Actor(incarnation, self._rules)), (), ()
        machine = actor.machine
        actor.commanded |= event[0] in ("claim", "lead")
        node = Node(actor.incarnation, sends.append, events.append)
        node.add([machine])
        match event[0]:
            case "message":
                sender, to, message = self._envelopes[event[1]]
                node.received(actor.clock, sender, to.start, message)
            case "append":
                n = machine.writers[LEDGER].seq
                node.carry_out(machine.append(actor.clock, LEDGER, [Change(f"a{n + 1}", b"")])[1])
            case "claim":
                node.carry_out(machine.claim(actor.clock, self._at))
            case "lead":
                node.carry_out(machine.lead(actor.clock, self._at))
            case "key committed":
                node.carry_out(
                    machine._deliver_local(actor.clock, machine.recovery.on_committed(actor.clock, "own", 1))
                )
            case "next":
                actor.clock = max(actor.clock, machine.next_at())
                node.ticked(actor.clock)
            case "sleep":
                actor.clock += LONG_DELAY
                node.ticked(actor.clock)
            case "dead":
                actor.view.dead = (event[1],)
                actor.clock += LONG_DELAY
                node.ticked(actor.clock)
        machine._notices.clear()  # repeats of a notice are covered by duplicated messages
        in_flight = []
        for send in sends:
            if isinstance(send.message, Learn):
                events.append(send.message)
            if not isinstance(send.message, LearnAck) and send.to.name in self._names:
                in_flight.append(self._number_of_envelope((actor.incarnation, send.to, send.message)))
        observed_events = tuple(n for n in events if isinstance(n, Committed | Claimed | Learn | Moved))
        facts = tuple(_fact(actor.incarnation.name, n) for n in observed_events)
        return self._number_of_actor(actor), tuple(in_flight), facts

    def _possible_commands(self, actor: _Actor) -> tuple[tuple[Any, ...], ...]:
        """Returns the commands that can have an effect on an actor in its current state."""
        name, machine, scenario = actor.incarnation.name, actor.machine, self.scenario
        commands: list[tuple[Any, ...]] = []
        if name[0] == "k":
            return (("restart",),) if actor.incarnation.start == 1 and machine.replica.segments else ()
        writer = machine.writers.get(LEDGER)
        claim = machine.recovery.claims.get(LEDGER)
        if writer is not None:
            if name == "w" or scenario.leads:
                commands.append(("append",))
            if name == "w" and not actor.view.dead:
                commands.append(("dead", writer.at.replicas[0].name))
        elif not actor.commanded:
            if name in scenario.claims:
                commands.append(("claim",))
            if name in scenario.leads:
                commands.append(("lead",))
        if any(not key.committed for key in machine.recovery.keys.values()):
            commands.append(("key committed",))
        if writer is not None or claim is not None:
            commands += [("next",), ("sleep",)]
        return tuple(commands)

    def _is_stale(self, actors: tuple[int, ...], number: int) -> bool:
        """Returns whether a message can no longer have any effect, whenever it arrives."""
        _, to, message = self._envelopes[number]
        if not isinstance(message, Promise | Accepted):
            return False
        key = (actors[self._names.index(to.name)], number, "stale")
        cached = self._stale_messages.get(key)
        if cached is None:
            actor: _Actor = pickle.loads(self._actors[key[0]])
            writer = actor.machine.writers.get(LEDGER)
            claim = actor.machine.recovery.claims.get(LEDGER)
            proposal = (
                writer._proposal if writer is not None else claim.proposal if claim is not None else None
            )
            cached = self._stale_messages[key] = (
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
        return cached

    # Numbers of envelopes and actors, which states consist of

    def _number_of_envelope(self, envelope: _Envelope) -> int:
        number = self._envelope_numbers.get(envelope)
        if number is None:
            number = self._envelope_numbers[envelope] = len(self._envelopes)
            self._envelopes.append(envelope)
        return number

    def _number_of_actor(self, actor: _Actor) -> int:
        content = (_content(actor.machine), actor.clock, actor.view.dead, actor.incarnation, actor.commanded)
        number = self._actor_numbers.get(content)
        if number is None:
            number = self._actor_numbers[content] = len(self._actors)
            self._actors.append(pickle.dumps(actor, 5))
            self._commands_of[number] = self._possible_commands(actor)
        return number

    def _initial_state(self, incarnations: Sequence[Incarnation]) -> _State:
        """Returns the initial state: the writer's ledger is open at its replicas."""
        self._stale_messages: dict[tuple[int, int, str], bool] = {}
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
        numbers = tuple(self._number_of_actor(actors[incarnation.name]) for incarnation in incarnations)
        budget = tuple(getattr(self.scenario, name) for name in self._budget_fields)
        return numbers, (), budget, _Observation()


def _fact(name: str, event: Any) -> tuple[Any, ...]:
    """Returns an event as a tuple for ``_observe``: its kind, then the details that the checks need."""
    if isinstance(event, Committed):
        return "committed", name, event.seq
    if isinstance(event, Claimed):
        return "claimed", name, frozenset(event.content)
    if isinstance(event, Learn):
        return "fate", event.segment, event.decision
    return "moved", name, event.at.segment, None if event.content is None else frozenset(event.content)


def _observe(observation: _Observation, facts: tuple[Any, ...]) -> _Observation:
    """Adds facts to the observation. Raises Violation if they break an invariant."""
    committed, holders, fates = observation.committed, set(observation.holders), dict(observation.fates)
    contents: list[frozenset[str]] = []
    for fact in facts:
        match fact:
            case ("committed", "w", seq):
                committed = max(committed, seq)
            case ("claimed", name, keys):
                holders.add((name, keys))
            case ("fate", segment, decision):
                if fates.setdefault(segment, decision) != decision:
                    raise Violation(f"one fate a segment: {segment}: {fates[segment]}, {decision}", [])
            case ("moved", _, _, keys) if keys is not None:
                contents.append(keys)
    if len({name for name, _ in holders}) > 1:
        raise Violation(f"one holder: {sorted(name for name, _ in holders)}", [])
    wanted = {f"a{i + 1}" for i in range(committed)}
    for keys in (*(keys for _, keys in holders), *contents):
        if not wanted <= keys:
            raise Violation(f"what counted is in the content: {sorted(wanted)} in {sorted(keys)}", [])
    return _Observation(committed, frozenset(holders), frozenset(fates.items()))


# attributes of machines that do not affect their behaviour within a search
_IGNORED_ATTRIBUTES = frozenset(
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
_SLOTS_BY_CLASS: dict[type, tuple[str, ...] | None] = {}


def _content(value: Any) -> Any:
    """Returns an object's state as comparable plain values, without ``_IGNORED_ATTRIBUTES``."""
    kind = type(value)
    if kind in (int, str, bytes, bool, type(None)) or isinstance(value, enum.Enum | msgspec.Struct):
        return value
    if kind in (list, tuple, deque):
        return tuple([_content(v) for v in value])
    if isinstance(value, dict):
        return tuple(sorted(((k, _content(v)) for k, v in value.items()), key=_key_of))
    if kind in (set, frozenset):
        return frozenset(value)
    slots = _SLOTS_BY_CLASS.get(kind)
    if kind not in _SLOTS_BY_CLASS:
        slots = _SLOTS_BY_CLASS[kind] = getattr(kind, "__slots__", None)
    names = slots if slots is not None else sorted(value.__dict__)
    return tuple([_content(getattr(value, name)) for name in names if name not in _IGNORED_ATTRIBUTES])


def _key_of(pair: tuple[Any, Any]) -> Any:
    return pair[0]


def _describe(message: Message) -> str:
    fields = [
        f"{name}={value}" for name, value in msgspec.structs.asdict(message).items() if name != "ledger"
    ]
    return f"{type(message).__name__}({', '.join(fields)})"


def main() -> None:
    """Searches all scenarios; prints the trace of the first violation and exits with 1."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=60_000, help="maximum number of states per scenario")
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args()
    INVARIANTS.fatal = True
    total = 0
    for scenario in SCENARIOS:
        started_at = time.monotonic()
        result = Search(scenario, seed=options.seed).run(options.most)
        total += result.states
        print(
            f"{result.scenario:20} {result.states:8} states {result.steps:9} steps,"
            f" depth {result.max_depth:3},"
            f" {'all' if result.complete else 'cut'}, {time.monotonic() - started_at:5.1f} s,"
            f" {dict(result.reached)}",
            flush=True,
        )
        if result.violation is not None:
            print(result.violation.what, *result.violation.trace, sep="\n  ")
            raise SystemExit(1)
    print(f"{total} states")


if __name__ == "__main__":
    main()
