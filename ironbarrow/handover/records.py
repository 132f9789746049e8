"""The messages between an old process and its successor. No input or output.

The successor starts a waiting job as if it had just arrived, with the remaining attempts and time. A job that
a worker has waits for its call-back; it is never sent to a second worker while that attempt may run.
"""

import json
from base64 import b64decode, b64encode
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from typing import Any

VERSION = 1
NOT_TAKEN = "not taken"  # the reply to a job that came without its client's connection, or can't be adopted
RETAINED_IDS = "retained ids"  # of jobs that may have run; older versions ignore this kind
KINDS = ("ready", "job", "call-back", NOT_TAKEN, RETAINED_IDS)
_MAX_IDS_BYTES = 64 * 1024  # of the ids in one message
_WORKER_KEY = (
    "provider"  # the field `worker` in messages: processes of other versions read and write this name
)


class RecordError(ValueError):
    """A message that this version can't read; the text says what is wrong."""


@dataclass(frozen=True, slots=True)
class Record:
    """One job. Times are durations in ns, as the clocks of the two processes may differ."""

    id: str
    job_class: str
    method: str
    target: str
    body: bytes
    content_type: str
    time_left: int
    attempts: int  # sent so far
    worker: str = ""  # that has the job; "": none
    may_have_run: bool = False  # in an earlier attempt, or the running one has reported its start
    key: int | None = None
    tenant: str | None = None
    slots: float = 1.0
    memory: float = 0.0
    idempotency_key: str = ""
    tried: tuple[str, ...] = ()  # workers that may still call back for an earlier attempt


def message(kind: str, **fields: Any) -> bytes:
    """Encodes a message."""
    return json.dumps({"version": VERSION, "kind": kind, **fields}).encode()


def job_message(record: Record) -> bytes:
    """Encodes a job. The descriptor of its client's connection is sent with the message."""
    fields = asdict(record)
    fields[_WORKER_KEY] = fields.pop("worker")
    fields["body"] = b64encode(record.body).decode()
    if not record.tried:
        del fields["tried"]  # older versions do not know this field
    return message("job", job=fields)


def retained_ids_messages(retentions: dict[str, int]) -> Iterator[tuple[list[str], bytes]]:
    """Encodes ids and how long each is still retained (ns). Yields each message with its ids."""
    batch: dict[str, int] = {}
    size = 0
    for job_id, retention in retentions.items():
        if batch and size + len(job_id) > _MAX_IDS_BYTES:
            yield list(batch), message(RETAINED_IDS, ids=batch)
            batch, size = {}, 0
        batch[job_id] = retention
        size += len(job_id)
    if batch:
        yield list(batch), message(RETAINED_IDS, ids=batch)


def parse(data: bytes) -> dict[str, Any]:
    """Decodes a message: its fields, ``job`` as a Record. Raises a RecordError for an invalid message."""
    try:
        fields = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise RecordError(f"not JSON: {error}") from None
    if not isinstance(fields, dict) or fields.get("version") != VERSION:
        raise RecordError(f"expected an object of version {VERSION}")
    if fields.get("kind") not in KINDS:
        raise RecordError(f"kind: expected one of {', '.join(KINDS)}, got {fields.get('kind')!r}")
    if fields["kind"] == NOT_TAKEN and not isinstance(fields.get("id"), str):
        raise RecordError("id: expected the id of the job that was not taken")
    if fields["kind"] == RETAINED_IDS and not _are_retentions(fields.get("ids")):
        raise RecordError("ids: expected an object of ids and positive durations")
    if fields["kind"] == "job":
        fields["job"] = _parse_record(fields.get("job"))
    return fields


def _are_retentions(ids: Any) -> bool:
    return isinstance(ids, dict) and all(
        type(retention) is int and retention > 0 for retention in ids.values()
    )


def _parse_record(fields: Any) -> Record:
    try:
        values = {**fields, "body": b64decode(fields["body"], validate=True)}
        values["tried"] = tuple(values.get("tried", ()))
        record = Record(worker=values.pop(_WORKER_KEY, ""), **values)
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"job: {error}") from None
    if not all(isinstance(worker, str) for worker in record.tried):
        raise RecordError("job: tried: expected a list of worker names")
    if not record.id or record.time_left <= 0 or record.attempts < 0:
        raise RecordError("job: expected an id, time_left > 0 and attempts >= 0")
    return record
