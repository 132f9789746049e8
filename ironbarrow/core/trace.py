"""A trace of one dispatcher: each event that the decisions take in and each action they answer with.

One log line each, with its time ``at`` on the program's clock (Unix ns), so that the traces of a whole
fleet can be laid side by side (``ironbarrow lab tally``). For replays: a line costs about as much as the
turn that it tells of.
"""

from enum import Enum
from typing import Any

import structlog

from heathway import api
from ironbarrow.core.attempt import Observation

log = structlog.get_logger()

_SETTINGS = (
    "me",
    "dispatchers",
    "zone",
    "live_weights",
    "asks_for_list",
    "report_fields",
    "may_cancel",
    "may_probe",
    "max_attempts",
    "ask_within",
    "cold_time",
    "start_capacity",
    "fall_multiple",
    "fall_window",
    "cross_zone_price",
    "probe_price",
)
_PASSED_OVER = (api.TimerFired, api.SetTimer)


def _plain(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.name.lower()
    if isinstance(value, api.LoadReport):
        return {name: found for name in value.__slots__ if (found := getattr(value, name)) is not None}
    return value


def _fields(of: Any) -> dict[str, Any]:
    if isinstance(of, api.WorkerList):
        lines = [[e.worker, e.state.value, e.weight, e.started_at] for e in of.entries]
        return {"kind": of.kind.value, "version": of.version, "lines": lines}
    return {name: _plain(getattr(of, name)) for name in of.__slots__}


def begun(now: int, settings: api.Settings) -> None:
    """Notes the settings, once, at the start. ``now``, here and below: ns, on the program's clock."""
    log.info("settings", at=now, **{name: _plain(getattr(settings, name)) for name in _SETTINGS})


def taken(now: int, number: int, job_id: str) -> None:
    """Notes under which number the decisions know a job, by its own id, which is the same in all logs."""
    log.info("taken", at=now, job=number, id=job_id)


def answered(now: int, number: int, job_id: str, verdict: str, elapsed: int) -> None:
    """Notes a job's final answer, ``elapsed`` ns after it was taken; "gone" where its client left."""
    log.info("answered", at=now, job=number, id=job_id, verdict=verdict, elapsed=elapsed)


def told(now: int, event: api.Event) -> None:
    """Notes an event of the decisions."""
    if not isinstance(event, _PASSED_OVER):
        log.info("told", at=now, what=type(event).__name__, **_fields(event))


def done(now: int, action: api.Action) -> None:
    """Notes an action of theirs."""
    if not isinstance(action, _PASSED_OVER):
        log.info("done", at=now, what=type(action).__name__, **_fields(action))


def told_to_stop(now: int, number: int, worker: str, observation: Observation) -> None:
    """Notes a DELETE of a job's attempt, and what came of it."""
    log.info("delete", at=now, job=number, worker=worker, observation=observation.name.lower())


def connected(now: int, worker: str, purpose: str) -> None:
    """Notes a new connection to a worker, for an attempt, a DELETE or a probe."""
    log.info("connect", at=now, worker=worker, purpose=purpose)
