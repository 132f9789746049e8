"""The content of a rollout's ledger: plan, state, each target's last step. No input or output."""

import enum

import msgspec
from msgspec import Struct

from ironbarrow.fleet.api import Change

LEDGER_PREFIX = "rollout/"  # followed by the plan's name
PLAN_KEY = "plan"
STATE_KEY = "state"
STEP_KEY_PREFIX = "s/"  # followed by the target's name


class Stage(enum.IntEnum):
    """The stage of a rollout."""

    RUNNING = 1
    HELD = 2  # paused; continues by itself
    STOPPED = 3  # paused until an operator resumes it
    BACK = 4  # is being rolled back to the last good runtime
    DONE = 5
    WENT_BACK = 6  # rolled back: no target has the new runtime


class RolloutState(Struct, frozen=True, array_like=True, kw_only=True):
    """How far a rollout is. Times: Unix ns."""

    stage: Stage = Stage.RUNNING
    group: int = 0  # index of the group of sites
    wave: int = 0
    wave_began_at: int = 0
    soak_began_at: int = 0  # 0: the wave's targets are not all replaced yet
    rule: str = ""  # the pause rule by which it is held or stopped
    details: str = ""
    since: int = 0  # when the stage was entered
    pauses: int = 0


class StepStage(enum.IntEnum):
    """The stage of a step."""

    ORDERED = 1  # its command may have been sent
    DONE = 2


class Step(Struct, frozen=True, array_like=True, kw_only=True):
    """The last step of one target: the replacement of its process."""

    number: int
    target: str
    runtime: str
    stage: StepStage
    epoch: int  # of the coordinator that wrote this entry
    at: int = 0  # Unix ns
    group: int = 0
    wave: int = 0
    worker: str = ""  # the name under which its process is listed; this and started_at (Unix ns): once DONE
    started_at: int = 0


class LedgerContent(Struct, kw_only=True):
    """The decoded content of a rollout's ledger."""

    plan: bytes = b""
    state: RolloutState = RolloutState()
    steps: dict[str, Step] = msgspec.field(default_factory=dict)
    unreadable: int = 0  # number of entries that could not be decoded


_ENCODER = msgspec.msgpack.Encoder()
_STATE_DECODER = msgspec.msgpack.Decoder(RolloutState)
_STEP_DECODER = msgspec.msgpack.Decoder(Step)


def plan_change(text: bytes) -> Change:
    return Change(PLAN_KEY, text)


def state_change(state: RolloutState) -> Change:
    return Change(STATE_KEY, _ENCODER.encode(state))


def step_change(step: Step) -> Change:
    return Change(STEP_KEY_PREFIX + step.target, _ENCODER.encode(step))


def parse_content(entries: dict[str, bytes]) -> LedgerContent:
    """Decodes a ledger's content; entries that can't be decoded are counted."""
    parsed = LedgerContent(plan=entries.get(PLAN_KEY, b""))
    for key, value in entries.items():
        try:
            if key == STATE_KEY:
                parsed.state = _STATE_DECODER.decode(value)
            elif key.startswith(STEP_KEY_PREFIX):
                step = _STEP_DECODER.decode(value)
                parsed.steps[step.target] = step
        except (msgspec.MsgspecError, UnicodeDecodeError):
            parsed.unreadable += 1
    return parsed
