"""Errors of the registry client."""

from __future__ import annotations

from ..errors import ConnectionLostError, LeaseLostError, StorageError

MAX_SLICES_IN_MESSAGE = 5


class RegistryUnavailableError(ConnectionLostError):
    """The registry is unreachable, rejected the request, or closed the connection. The text says which."""


class CompactedError(StorageError):
    """The requested revision has been compacted."""


class FencedError(LeaseLostError):
    """The ownership of `slices` is lost: nothing of the batch that contains them was written."""

    def __init__(self, slices: list[int]) -> None:
        super().__init__(f"lost the ownership of {len(slices)} slices: {slices[:MAX_SLICES_IN_MESSAGE]}")
        self.slices = slices
