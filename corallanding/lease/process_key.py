"""What identifies one process of a controller: a controller that is started again is another process."""

from __future__ import annotations

from typing import NamedTuple


class ProcessKey(NamedTuple):
    """One process of a controller. incarnation: drawn when the process started."""

    controller: int
    incarnation: int
