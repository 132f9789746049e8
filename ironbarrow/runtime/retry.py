"""Retries blocking calls during start-up that fail for a temporary lack of local resources."""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from ironbarrow.runtime.errors import ErrorOrigin, origin_of

T = TypeVar("T")

START_TIMEOUT_S = 5.0
_RETRY_PAUSE_S = 0.02


def retry_transient(call: Callable[[], T], timeout_s: float = START_TIMEOUT_S) -> T:
    """Returns the result of ``call``, which is repeated while it fails for a temporary lack of local
    resources.

    Raises the OSError of any other failure, an address in use included, and the last one once ``timeout_s``
    seconds have passed. Blocks meanwhile.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        try:
            return call()
        except OSError as error:
            transient = origin_of(error) is ErrorOrigin.LOCAL and error.errno != errno.EADDRINUSE
            if not transient or time.monotonic() >= deadline:
                raise
        time.sleep(_RETRY_PAUSE_S)
