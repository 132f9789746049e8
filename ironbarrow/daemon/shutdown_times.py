"""The times of an orderly shutdown, from the deadlines in the settings. No input or output."""

from dataclasses import dataclass

from heathway import api
from ironbarrow.runtime.clock import MS, SECOND

_MAX_COUNTED_DEADLINE = 3 * SECOND  # a longer deadline does not delay SIGKILL any further
_MAX_ANSWER_MARGIN = (
    150 * MS
)  # from the last answers of a member to its leaving, for its ledger and its writes
_EXIT_MARGIN = 100 * MS  # from the last thing that the exit waits for to SIGKILL
_KILL_MARGIN = 700 * MS  # from the end of the longest deadline to SIGKILL


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """The times of an orderly shutdown: ns from the call of ``stop``, unless a field says otherwise."""

    idle_close_delay: int  # idle client connections are closed
    answer_limit: int  # jobs that arrive during the shutdown are answered by this time
    connection_limit: int  # connections that clients have not closed no longer delay the exit
    rejection_limit: int  # what the successor may still reject no longer delays the exit
    leave_delay: int  # in a fleet: the other members are told to take over the unanswered jobs
    fleet_answer_limit: int  # in a fleet: as ``answer_limit``, before ``leave_delay``
    leave_timeout: int  # ns from ``leave_delay``: the replicas are waited for this long

    @staticmethod
    def of(settings: api.Settings) -> "ShutdownTimes":
        """Returns the times for the longest deadline of these settings.

        SIGKILL may come 0.7 s after the longest deadline, of which at most 3 s count. Jobs that arrive more
        than 0.7 s after SIGTERM must be answered before it. Clients go on sending for 0.2 to 0.4 s.

        If idle connections were closed at once, their clients would have no dispatcher to connect to while
        another one restarts. If they were kept for the same time where deadlines are short, jobs could
        arrive on them that SIGKILL interrupts.
        """
        longest = min(_MAX_COUNTED_DEADLINE, max(cls.deadline for cls in settings.classes))
        answer_limit = longest + _KILL_MARGIN - max(150 * MS, min(500 * MS, longest // 2))
        leave_timeout = min(700 * MS, answer_limit // 2)
        leave_delay = answer_limit - leave_timeout
        kill_delay = longest + _KILL_MARGIN
        return ShutdownTimes(
            idle_close_delay=max(500 * MS, min(1500 * MS, answer_limit // 2)),
            answer_limit=answer_limit,
            connection_limit=answer_limit + (kill_delay - answer_limit) // 3,
            rejection_limit=kill_delay - _EXIT_MARGIN,
            leave_delay=leave_delay,
            fleet_answer_limit=leave_delay - min(_MAX_ANSWER_MARGIN, leave_delay // 4),
            leave_timeout=leave_timeout,
        )
