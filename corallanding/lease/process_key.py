"""The identity of one controller process; a restarted controller is a different process."""

from __future__ import annotations

from typing import NamedTuple


class ProcessKey(NamedTuple):
    """One process of a controller. `incarnation` is drawn when the process starts."""

    controller: int
    incarnation: int
