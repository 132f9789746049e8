"""What a rollout's ledger says: the plan, how far it is, and each target's last step. No input or output."""

import enum

import msgspec
from msgspec import Struct

from ironbarrow.fleet.api import Change

LEDGER = "rollout/"  # and the plan's name
PLAN = "plan"
STATE = "state"
STEP = "s/"  # and the target


class Stage(enum.IntEnum):
    """How far a rollout is."""

    RUNNING = 1
    HELD = 2  # goes on by itself
    STOPPED = 3  # waits for a person
    BACK = 4  # goes back to the last good runtime
    DONE = 5
    WENT_BACK = 6  # all that had the new runtime have the last good one again


class State(Struct, frozen=True, array_like=True, kw_only=True):
    """How far it is. Times: Unix ns."""

    stage: Stage = Stage.RUNNING
    group: int = 0  # of sites
    wave: int = 0
    wave_began_at: int = 0
    soak_from: int = 0  # 0: not all of the wave have it yet
    rule: str = ""  # by which it is held or stopped
    figures: str = ""
    since: int = 0
    pauses: int = 0


class StepStage(enum.IntEnum):
    """How far a step is."""

    ORDERED = 1  # its command may be out
    DONE = 2


class Step(Struct, frozen=True, array_like=True, kw_only=True):
    """One target's last step."""

    number: int
    target: str
    runtime: str
    stage: StepStage
    epoch: int  # of the coordinator that wrote this entry
    at: int = 0  # Unix ns
    group: int = 0
    wave: int = 0
    worker: str = ""  # DONE: the name under which its process is listed, and its start, Unix ns
    started_at: int = 0


class Content(Struct, kw_only=True):
    """A ledger's content, read."""

    plan: bytes = b""
    state: State = State()
    steps: dict[str, Step] = msgspec.field(default_factory=dict)
    unread: int = 0  # entries that could not be read


_ENCODER = msgspec.msgpack.Encoder()
_STATES = msgspec.msgpack.Decoder(State)
_STEPS = msgspec.msgpack.Decoder(Step)


def put_plan(text: bytes) -> Change:
    return Change(PLAN, text)


def put_state(state: State) -> Change:
    return Change(STATE, _ENCODER.encode(state))


def put_step(step: Step) -> Change:
    return Change(STEP + step.target, _ENCODER.encode(step))


def read(content: dict[str, bytes]) -> Content:
    """What a ledger holds; what can't be read is counted."""
    found = Content(plan=content.get(PLAN, b""))
    for key, value in content.items():
        try:
            if key == STATE:
                found.state = _STATES.decode(value)
            elif key.startswith(STEP):
                step = _STEPS.decode(value)
                found.steps[step.target] = step
        except (msgspec.MsgspecError, UnicodeDecodeError):
            found.unread += 1
    return found
