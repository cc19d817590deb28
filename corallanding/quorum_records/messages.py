"""Words between stewards on records that are written once: msgpack arrays, each within one datagram."""

from __future__ import annotations

from ..wire.peer_messages import ControllerMessage

COPIED_MOST, PAGED_MOST = 8, 6  # rows of a word
VALUE_MOST = (1 << 63) - 1
ACCEPTED, SUPERSEDED, FULL, CLOSED, RECOVERING = range(5)  # what a keeper says

RecordRow = tuple[int, int, int]  # key, value, age in ms
VersionedRow = tuple[int, int, int, int, int]  # the same, and under which fence and in which round it was written


class Accept(ControllerMessage, frozen=True, array_like=True, tag=30):
    """The holder of a group to a keeper: keep these. first: they are beginnings, nobody was told of them yet."""

    group: int = 0
    fencing_token: int = 0
    is_initial: bool = False
    rows: list[RecordRow] = []


class AcceptReply(ControllerMessage, frozen=True, array_like=True, tag=31):
    """The answer to the copy of that life and round. seen: the highest fence that the keeper has seen in that group."""

    group: int = 0
    status: int = ACCEPTED
    highest_token: int = 0


class Prepare(ControllerMessage, frozen=True, array_like=True, tag=32):
    """A new holder to a keeper: what do you have of the group, with keys above `after`? From here on nothing is kept
    that comes under a lower fence. fence 0: asked by a keeper that has lost its own, and promises nothing."""

    group: int = 0
    fencing_token: int = 0
    after_key: int = -1


class PrepareReply(ControllerMessage, frozen=True, array_like=True, tag=33):
    """The answer to the fetch of that life and round."""

    group: int = 0
    status: int = ACCEPTED
    highest_token: int = 0
    rows: list[VersionedRow] = []
    has_more: bool = False


class FileAnnouncement(ControllerMessage, frozen=True, array_like=True, tag=34):
    """A keeper, now and then: `round` counts the openings of its file, `writes` what was ever written to it."""

    write_count: int = 0


class FileAnnouncementReply(ControllerMessage, frozen=True, array_like=True, tag=35):
    """The answer to `Here` of that life: of how many openings we know that another life of that keeper had, and of how
    many writes to its file. blank: we remember nothing."""

    is_recovering: bool = False
    write_count: int = 0


class Query(ControllerMessage, frozen=True, array_like=True, tag=36):
    """A steward to the holder of a record's group. kind, more: what is asked, by the group's subject."""

    group: int = 0
    key: int = 0
    kind: int = 0
    argument: int = 0


class QueryReply(ControllerMessage, frozen=True, array_like=True, tag=37):
    """The answer to the question of that life and round. key: on what, so that none is taken for another's."""

    key: int = 0
    result: int = 0
    value: int = 0


RecordMessage = Accept | AcceptReply | Prepare | PrepareReply | FileAnnouncement | FileAnnouncementReply


def sound(word: ControllerMessage) -> bool:
    """Whether its fields can be meant."""
    if not (0 <= word.incarnation < 1 << 63 and 0 <= word.round < 1 << 53):
        return False
    match word:
        case Accept():
            good = 0 < word.fencing_token < 1 << 63 and 0 < len(word.rows) <= COPIED_MOST
            return good and 0 <= word.group < 1 << 32 and all(map(sound_row, word.rows))
        case AcceptReply():
            return 0 <= word.highest_token < 1 << 63 and ACCEPTED <= word.status <= RECOVERING
        case Prepare():
            return 0 <= word.fencing_token < 1 << 63 and 0 <= word.group < 1 << 32 and -1 <= word.after_key < 1 << 63
        case PrepareReply():
            good = (
                0 <= word.highest_token < 1 << 63
                and ACCEPTED <= word.status <= RECOVERING
                and len(word.rows) <= PAGED_MOST
            )
            return good and all(sound_row(r[:3]) and 0 < r[3] < 1 << 63 and 0 <= r[4] < 1 << 53 for r in word.rows)
        case FileAnnouncement() | FileAnnouncementReply():
            return 0 <= word.write_count < 1 << 62
        case Query():
            good = 0 <= word.group < 1 << 32 and 0 < word.key < 1 << 63
            return good and 0 <= word.kind < 16 and 0 <= word.argument < 1 << 63
        case QueryReply():
            return 0 < word.key < 1 << 63 and 0 <= word.result < 16 and 0 <= word.value < 1 << 63
    return True


def sound_row(row: RecordRow) -> bool:
    key, value, age = row
    return 0 <= key < 1 << 63 and 0 < value <= VALUE_MOST and 0 <= age < 1 << 50
