"""What a dispatcher's ledger says of a job, and what is passed on with it. No input or output.

A job is under the key ``j/ID``. It is written when it is taken (nobody has it), again before each attempt
(who is about to have it), again with a refusal before its client hears that, and dropped when it has
ended.
"""

import enum
from typing import TypeVar

import msgspec
from msgspec import Struct

from ironbarrow.fleet.api import Change, LedgerLocation

_Record = TypeVar("_Record")
JOB = "j/"  # a job that is owed
CLAIM = "c/"  # a ledger of another that is about to be claimed: msgpack of its LedgerLocation
VERDICT = "v/"  # a verdict on a tenant that has begun
ANSWER = "a/"  # the answer of a job that must not run twice, for a while after its end


class Stage(enum.IntEnum):
    """How far a job has come."""

    TAKEN = 1  # no attempt of it is out, and none may have run unless ``may_have_run``
    INTENT = 2  # the attempt to ``worker`` may go out at any time, or has
    REFUSED = 3  # its client may have been told that a repeat is harmless: it is never sent again


class JobRecord(Struct, frozen=True, array_like=True, kw_only=True):
    """A job as its ledger has it. Times in ns; ``taken_at`` and ``until`` are Unix times of the dispatcher
    that took it first: whoever takes it over keeps to the shorter of ``until`` and the time left by ``age``
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
    attempts: int = 0  # over all holders, that of the intent included
    worker: str = ""  # INTENT: who is about to have it
    may_have_run: bool = False  # at an attempt before the one of the intent
    key: int | None = None
    tenant: str | None = None
    slots: float = 1.0
    memory: float = 0.0
    digest: bytes = b""  # of method, target and body: another request under the same id is not the same job
    idempotency_key: str = ""
    tried: tuple[str, ...] = ()  # workers that may still tell of an earlier attempt, over all holders


class AnswerRecord(Struct, frozen=True, array_like=True, kw_only=True):
    """The answer of a job that has ended, in place of the job: its client may come again for it."""

    id: str
    digest: bytes
    verdict: str
    result: bytes = b""


_ENCODER = msgspec.msgpack.Encoder()
_JOB_DECODER = msgspec.msgpack.Decoder(JobRecord)
_ANSWER_DECODER = msgspec.msgpack.Decoder(AnswerRecord)
_LOCATION_DECODER = msgspec.msgpack.Decoder(LedgerLocation)


def put(record: JobRecord) -> Change:
    """The change that writes a job down."""
    return Change(JOB + record.id, _ENCODER.encode(record))


def drop(job_id: str) -> Change:
    """The change that says that nothing is owed of it."""
    return Change(JOB + job_id)


def jobs(content: dict[str, bytes]) -> list[JobRecord]:
    """The jobs in a ledger's content, in order of id; what can't be read is left out, for the caller to
    count."""
    return _read(content, JOB, _JOB_DECODER)


def put_answer(answer: AnswerRecord) -> Change:
    """The change that writes an answer down."""
    return Change(ANSWER + answer.id, _ENCODER.encode(answer))


def drop_answer(job_id: str) -> Change:
    """The change that forgets an answer."""
    return Change(ANSWER + job_id)


def answers(content: dict[str, bytes]) -> list[AnswerRecord]:
    """The answers in a ledger's content, as ``jobs`` gives the jobs."""
    return _read(content, ANSWER, _ANSWER_DECODER)


def drop_claim(ledger: str) -> Change:
    """The change that says that a claim is over: what was claimed is in this ledger itself."""
    return Change(CLAIM + ledger)


def claims(content: dict[str, bytes]) -> list[LedgerLocation]:
    """The ledgers that a ledger's writer was about to claim, as ``jobs`` gives the jobs."""
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
