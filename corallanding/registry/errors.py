"""Errors of the registry client."""

from __future__ import annotations

from ..errors import ConnectionLostError, LeaseLostError, StorageError

MAX_SLICES_IN_TEXT = 5


class RegistryUnavailableError(ConnectionLostError):
    """The registry cannot be reached, refused the request, or broke off the exchange. The text says which."""


class CompactedError(StorageError):
    """The requested revision is compacted away."""


class FencedError(LeaseLostError):
    """The leases of `slices` are lost: nothing of the batch that held them was written."""

    def __init__(self, slices: list[int]) -> None:
        super().__init__(f"the charge of {len(slices)} slices was lost: {slices[:MAX_SLICES_IN_TEXT]}")
        self.slices = slices
