"""A trace of one dispatcher: every event passed to the decision module and every action it returns.

One log line each, with its time ``at`` on the process's clock (Unix ns), so that the traces of a whole fleet
can be merged (``ironbarrow lab tally``). Meant for replays: writing a line costs about as much as handling
the event.
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
_OMITTED = (api.TimerFired, api.SetTimer)


def _loggable(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.name.lower()
    if isinstance(value, api.LoadReport):
        return {name: found for name in value.__slots__ if (found := getattr(value, name)) is not None}
    return value


def _fields(message: Any) -> dict[str, Any]:
    if isinstance(message, api.WorkerList):
        lines = [[e.worker, e.state.value, e.weight, e.started_at] for e in message.entries]
        return {"kind": message.kind.value, "version": message.version, "lines": lines}
    return {name: _loggable(getattr(message, name)) for name in message.__slots__}


def log_settings(now: int, settings: api.Settings) -> None:
    """Logs the settings, once, at the start. ``now``, here and below: ns on the process's clock."""
    log.info("settings", at=now, **{name: _loggable(getattr(settings, name)) for name in _SETTINGS})


def log_job_taken(now: int, number: int, job_id: str) -> None:
    """Logs the decision module's number of a job together with the job's id, which is the same in all
    logs."""
    log.info("taken", at=now, job=number, id=job_id)


def log_answer(now: int, number: int, job_id: str, verdict: str, elapsed: int) -> None:
    """Logs a job's final answer, ``elapsed`` ns after it was accepted; "gone" if its client disconnected."""
    log.info("answered", at=now, job=number, id=job_id, verdict=verdict, elapsed=elapsed)


def log_event(now: int, event: api.Event) -> None:
    """Logs an event that is passed to the decision module."""
    if not isinstance(event, _OMITTED):
        log.info("told", at=now, what=type(event).__name__, **_fields(event))


def log_action(now: int, action: api.Action) -> None:
    """Logs an action that the decision module returned."""
    if not isinstance(action, _OMITTED):
        log.info("done", at=now, what=type(action).__name__, **_fields(action))


def log_delete(now: int, number: int, worker: str, observation: Observation) -> None:
    """Logs a DELETE of a job's attempt and its result."""
    log.info("delete", at=now, job=number, worker=worker, observation=observation.name.lower())


def log_connect(now: int, worker: str, purpose: str) -> None:
    """Logs a new connection to a worker, for an attempt, a DELETE or a probe."""
    log.info("connect", at=now, worker=worker, purpose=purpose)
