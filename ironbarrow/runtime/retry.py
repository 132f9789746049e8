"""Calls of the start that are made again where this machine lacks something for a moment. They may block."""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from ironbarrow.runtime.errors import Meaning, meaning_of

T = TypeVar("T")

START_LIMIT_S = 5.0
_PAUSE_S = 0.02


def until_it_goes(call: Callable[[], T], limit_s: float = START_LIMIT_S) -> T:
    """What the call gives back. An OSError that tells of more than a moment's lack passes on, as does one
    after ``limit_s`` seconds; an address that is in use is no such lack."""
    last = time.monotonic() + limit_s
    while True:
        try:
            return call()
        except OSError as error:
            momentary = meaning_of(error) is Meaning.HERE and error.errno != errno.EADDRINUSE
            if not momentary or time.monotonic() >= last:
                raise
        time.sleep(_PAUSE_S)
