"""System calls that fail for a moment: which errors pass by themselves, and how long an operation is retried."""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import Callable
from typing import TypeVar

TRANSIENT_ERRNOS = frozenset(
    {
        *(errno.EAGAIN, errno.EINTR, errno.EBUSY, errno.ENOMEM, errno.ENOBUFS, errno.EMFILE, errno.ENFILE),
        *(errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.ECONNABORTED, errno.ENETDOWN, errno.ENETUNREACH),
        *(errno.EIO, errno.ENOSPC, errno.EDQUOT, errno.ETIMEDOUT),
    }
)
"""Errors whose cause lies outside the failed call and may pass: resources of the machine, its network, its disk."""

LOCAL_ERRNOS = frozenset(
    {
        *(errno.EAGAIN, errno.EINTR, errno.ENOMEM, errno.ENOBUFS, errno.EMFILE, errno.ENFILE),
        *(errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.ENETDOWN, errno.ENETUNREACH),
    }
)
"""Errors of opening a connection that say something of this machine only, not of the peer."""

RETRY_INTERVAL_SECONDS = 0.05

T = TypeVar("T")


def is_transient(error: OSError) -> bool:
    """Return whether the operation may succeed if it is repeated."""
    return error.errno in TRANSIENT_ERRNOS


async def retry_transient(
    operation: Callable[[], T], max_seconds: float, on_first_failure: Callable[[OSError], None]
) -> T:
    """Return the result of `operation`, repeated while it raises transient errors; raise the last one in the end."""
    deadline_s = time.monotonic() + max_seconds
    is_first = True
    while True:
        try:
            return operation()
        except OSError as error:
            _raise_if_final(error, deadline_s)
            if is_first:
                on_first_failure(error)
                is_first = False
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)


def retry_transient_blocking(operation: Callable[[], T], max_seconds: float) -> T:
    """Do the same as `retry_transient` before an event loop exists."""
    deadline_s = time.monotonic() + max_seconds
    while True:
        try:
            return operation()
        except OSError as error:
            _raise_if_final(error, deadline_s)
        time.sleep(RETRY_INTERVAL_SECONDS)


def _raise_if_final(error: OSError, deadline_s: float) -> None:
    if not is_transient(error) or time.monotonic() >= deadline_s:
        raise error
