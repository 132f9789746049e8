"""Records in a dispatcher's ledger. Does no input or output.

A job has the key ``j/ID``. Its record is written when the job is accepted, again before each attempt (with
the worker), again with a refusal before that is sent to the client, and dropped when the job has ended.
"""

import enum
from typing import TypeVar

import msgspec
from msgspec import Struct

from ironbarrow.fleet.api import Change, LedgerLocation

_Record = TypeVar("_Record")
# prefixes of keys
JOB = "j/"  # a job that is not answered yet
CLAIM = "c/"  # a ledger of another member that is about to be claimed: MessagePack of its LedgerLocation
VERDICT = "v/"  # a starvation verdict on a tenant that is in force
ANSWER = "a/"  # the answer of a booking, for a while after its end


class Stage(enum.IntEnum):
    """The progress of a job."""

    TAKEN = 1  # accepted; no attempt is running, and none may have run unless ``may_have_run``
    INTENT = 2  # the attempt to ``worker`` may be sent at any time, or has been
    REFUSED = 3  # its client may have been refused and may retry, so it is never sent again


class JobRecord(Struct, frozen=True, array_like=True, kw_only=True):
    """A job in a ledger. Times in ns; ``taken_at`` and ``until`` are Unix times of the dispatcher that
    accepted it first: whoever takes it over keeps to the shorter of ``until`` and the time left by ``age``
    rules of its own.
    """

    id: str
    job_class: str
    method: str
    target: str
    body: bytes
    content_type: str
    taken_at: int
    until: int
    stage: Stage
    attempts: int = 0  # by all owners of the job, including the one of the intent
    worker: str = ""  # INTENT: the worker of the attempt
    may_have_run: bool = False  # in an attempt before the one of the intent
    key: int | None = None
    tenant: str | None = None
    slots: float = 1.0
    memory: float = 0.0
    digest: bytes = b""  # of method, target and body: identifies another request under the same id
    idempotency_key: str = ""
    tried: tuple[str, ...] = ()  # workers of all attempts by all owners, which may still call back


class AnswerRecord(Struct, frozen=True, array_like=True, kw_only=True):
    """The answer of a job that has ended, which replaces the job's record: its client may retry for it."""

    id: str
    digest: bytes
    verdict: str
    result: bytes = b""


_ENCODER = msgspec.msgpack.Encoder()
_JOB_DECODER = msgspec.msgpack.Decoder(JobRecord)
_ANSWER_DECODER = msgspec.msgpack.Decoder(AnswerRecord)
_LOCATION_DECODER = msgspec.msgpack.Decoder(LedgerLocation)


def put(record: JobRecord) -> Change:
    """The change that stores a job."""
    return Change(JOB + record.id, _ENCODER.encode(record))


def drop(job_id: str) -> Change:
    """The change that removes a job."""
    return Change(JOB + job_id)


def jobs(content: dict[str, bytes]) -> list[JobRecord]:
    """The jobs in a ledger's content, in order of id. Malformed records are left out; the caller counts
    them."""
    return _read(content, JOB, _JOB_DECODER)


def put_answer(answer: AnswerRecord) -> Change:
    """The change that stores an answer."""
    return Change(ANSWER + answer.id, _ENCODER.encode(answer))


def drop_answer(job_id: str) -> Change:
    """The change that removes an answer."""
    return Change(ANSWER + job_id)


def answers(content: dict[str, bytes]) -> list[AnswerRecord]:
    """The answers in a ledger's content, in order of id; malformed records as in ``jobs``."""
    return _read(content, ANSWER, _ANSWER_DECODER)


def drop_claim(ledger: str) -> Change:
    """The change that ends a claim, as the claimed content is in this ledger."""
    return Change(CLAIM + ledger)


def claims(content: dict[str, bytes]) -> list[LedgerLocation]:
    """The ledgers that the writer of a ledger was about to claim; malformed records as in ``jobs``."""
    return _read(content, CLAIM, _LOCATION_DECODER)


def _read(
    content: dict[str, bytes], prefix: str, decoder: "msgspec.msgpack.Decoder[_Record]"
) -> list[_Record]:
    records: list[_Record] = []
    for key in sorted(content):
        if key.startswith(prefix):
            try:
                records.append(decoder.decode(content[key]))
            except (msgspec.MsgspecError, UnicodeDecodeError):
                continue
    return records
