"""What an old process tells the one that replaces it. No input or output.

A job that waits is taken by the new process as if it had just come, with the attempts and the time that are
left. One that a worker has is only kept: its call-back ends it, and it is never sent beside that attempt.
"""

import json
from base64 import b64decode, b64encode
from dataclasses import asdict, dataclass
from typing import Any

VERSION = 1
NOT_TAKEN = "not taken"  # the answer to a job that came without its client's connection, or can't be kept
KINDS = ("ready", "job", "call-back", NOT_TAKEN)
_WORKER_KEY = "provider"  # in messages; processes of other versions read and write it


class RecordError(ValueError):
    """A message that is none of this version's; the text says what is wrong."""


@dataclass(frozen=True, slots=True)
class Record:
    """One job. Times in ns, as lengths: the two processes' clocks need not agree."""

    id: str
    job_class: str
    method: str
    target: str
    body: bytes
    content_type: str
    time_left: int
    attempts: int  # written so far
    worker: str = ""  # who has it; "": nobody
    may_have_run: bool = False  # at an attempt before the one that is out, or that one has told of its start
    key: int | None = None
    tenant: str | None = None
    slots: float = 1.0
    memory: float = 0.0
    idempotency_key: str = ""
    tried: tuple[str, ...] = ()  # workers that may still tell of an earlier attempt


def message(kind: str, **fields: Any) -> bytes:
    """One message as bytes."""
    return json.dumps({"version": VERSION, "kind": kind, **fields}).encode()


def job_message(record: Record) -> bytes:
    """A job as bytes; its client's connection goes beside them."""
    fields = asdict(record)
    fields[_WORKER_KEY] = fields.pop("worker")
    fields["body"] = b64encode(record.body).decode()
    if not record.tried:
        del fields["tried"]  # which processes before this one do not read
    return message("job", job=fields)


def parse(data: bytes) -> dict[str, Any]:
    """A message's fields, ``job`` as a Record; a RecordError for what is none."""
    try:
        found = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise RecordError(f"not JSON: {error}") from None
    if not isinstance(found, dict) or found.get("version") != VERSION:
        raise RecordError(f"expected an object of version {VERSION}")
    if found.get("kind") not in KINDS:
        raise RecordError(f"kind: expected one of {', '.join(KINDS)}, got {found.get('kind')!r}")
    if found["kind"] == NOT_TAKEN and not isinstance(found.get("id"), str):
        raise RecordError("id: expected that of the job which was not taken")
    if found["kind"] == "job":
        found["job"] = _record(found.get("job"))
    return found


def _record(fields: Any) -> Record:
    try:
        values = {**fields, "body": b64decode(fields["body"], validate=True)}
        values["tried"] = tuple(values.get("tried", ()))
        record = Record(worker=values.pop(_WORKER_KEY, ""), **values)
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"job: {error}") from None
    if not all(isinstance(worker, str) for worker in record.tried):
        raise RecordError("job: tried: expected names of workers")
    if not record.id or record.time_left <= 0 or record.attempts < 0:
        raise RecordError("job: expected an id, time left and a number of attempts")
    return record
