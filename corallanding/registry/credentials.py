"""Credentials of a registry client: a token and certificates, read from files."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.sources import RegistryBlock


def read_optional_file(path: str | None) -> bytes | None:
    """Return the content of a file, or None without a path. Raises OSError."""
    return Path(path).read_bytes() if path else None


@dataclass(frozen=True)
class Credentials:
    """A token ("" for none), and PEM data of the registry's CA and of the client certificate and key."""

    token: str
    ca: bytes | None
    certificate: bytes | None
    key: bytes | None

    @classmethod
    def read(cls, block: RegistryBlock) -> Credentials:
        """Read the configured files. Raises OSError if one of them cannot be read."""
        token = (read_optional_file(block.token_file) or b"").decode("ascii", "replace").strip()
        return cls(
            token,
            read_optional_file(block.ca_file),
            read_optional_file(block.certificate_file),
            read_optional_file(block.key_file),
        )


class CredentialFiles:
    """Reads the credentials again for every connection, so that new tokens and certificates need no restart.

    If a file is missing or unreadable while it is being replaced, the last good credentials stay in use and the failure
    is logged. Deleting a token file therefore does not revoke the token here; the registry itself rejects a revoked
    token. The constructor raises OSError if one of the files cannot be read.
    """

    def __init__(self, block: RegistryBlock, on_failure: Callable[[str], None]) -> None:
        self._block = block
        self._on_failure = on_failure
        self.last_good = Credentials.read(block)

    def read(self) -> Credentials:
        """Return the credentials as they are on disk, or the last good ones if a file cannot be read."""
        try:
            self.last_good = Credentials.read(self._block)
        except OSError as error:
            self._on_failure(
                f"registry: {error.filename}: {error.strerror}; the token and certificates read before stay in use"
            )
        return self.last_good
