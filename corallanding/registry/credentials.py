"""What a registry asks of its clients: a token and certificates, read from files."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.sources import RegistryBlock


def read_optional(path: str | None) -> bytes | None:
    """The content of a file, None without a path. Raises OSError."""
    return Path(path).read_bytes() if path else None


@dataclass(frozen=True)
class Credentials:
    """A token ("" for none), and PEM data of the registry's CA and of our certificate and key."""

    token: str
    ca: bytes | None
    certificate: bytes | None
    key: bytes | None

    @classmethod
    def read(cls, block: RegistryBlock) -> Credentials:
        """Read the configured files. Raises OSError if one of them cannot be read."""
        token = (read_optional(block.token_file) or b"").decode("ascii", "replace").strip()
        return cls(
            token,
            read_optional(block.ca_file),
            read_optional(block.certificate_file),
            read_optional(block.key_file),
        )


class CredentialFiles:
    """Reads the credentials anew for every connection, so that new tokens and certificates need no restart.

    Guards against files that are missing or incomplete while they are replaced: the last good ones stay in use, and
    that is logged. Could harm where a token was withdrawn by deleting its file: the registry refuses that one by
    itself. The constructor raises OSError if one of the files cannot be read.
    """

    def __init__(self, block: RegistryBlock, on_failure: Callable[[str], None]) -> None:
        self._block = block
        self._on_failure = on_failure
        self.last_good = Credentials.read(block)

    def read(self) -> Credentials:
        """The credentials now, or the last good ones."""
        try:
            self.last_good = Credentials.read(self._block)
        except OSError as error:
            self._on_failure(
                f"registry: {error.filename}: {error.strerror}; the token and certificates read before stand"
            )
        return self.last_good
