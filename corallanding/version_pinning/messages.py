"""Words between stewards on runs and releases: msgpack arrays, each within one datagram."""

from __future__ import annotations

from ..lease.messages import ControllerMessage

NOT_NOW, PINNED, OVER, FULL = range(4)  # what a run is told
ENTER, ENDED = range(2)  # what is asked of a run: it goes on, or it is over
MAX_COUNTED_SETS = 8


class RegisterAnnouncement(ControllerMessage, frozen=True, array_like=True, tag=38):
    """The register of releases that is in force, by whoever holds the release task."""

    value: int = 0


class RunCountQuery(ControllerMessage, frozen=True, array_like=True, tag=39):
    """The holder of the release task to a keeper: how many live runs of each set do you have?"""


class RunCountReport(ControllerMessage, frozen=True, array_like=True, tag=40):
    """The answer to the tally of that life and round; value: the register that this keeper has taken in."""

    value: int = 0
    rows: list[tuple[int, int]] = []  # set, runs


PinningMessage = RegisterAnnouncement | RunCountQuery | RunCountReport


def is_valid(word: ControllerMessage) -> bool:
    """Whether its fields can be meant."""
    if not (0 <= word.life < 1 << 63 and 0 <= word.round < 1 << 53):
        return False
    match word:
        case RegisterAnnouncement():
            return 0 < word.value < 1 << 63
        case RunCountReport():
            good = all(0 <= s < 1 << 21 and 0 <= n < 1 << 32 for s, n in word.rows)
            return good and 0 <= word.value < 1 << 63 and len(word.rows) <= MAX_COUNTED_SETS
    return True
