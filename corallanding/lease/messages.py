"""Words between stewards on an office and on tasks: msgpack arrays, each within one datagram."""

from __future__ import annotations

import msgspec

BITS = 32  # bytes of a set of shards


class Word(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    """life: drawn by each process at its start. round: its own count, never less than before."""

    life: int
    round: int


class Stand(Word, frozen=True, array_like=True, tag=11):
    """Vote for me; `holds`: I have the office already. electorate: a digest of the voters as I know them. top: no fence
    that I give out goes beyond it until this word has a majority's votes."""

    holds: bool = False
    electorate: int = 0
    top: int = 0


class Vote(Word, frozen=True, array_like=True, tag=12):
    """The answer to the round of that life. top: the highest that any candidate told this voter."""

    given: bool = False
    top: int = 0


class Quit(Word, frozen=True, array_like=True, tag=13):
    """Votes up to this round are of no use to me."""


class Ask(Word, frozen=True, array_like=True, tag=16):
    """A holder to the dealer: which shards it wants, which it has or still acts on, by the deal to which round. to,
    office: life and round of the last word by which that dealer said that it holds the office. tasks: a digest of the
    tasks as configured. seen: the highest fence that a place of effect or another word has shown."""

    to: int = 0
    office: int = 0
    wanted: bytes = b""
    held: bytes = b""
    taken: int = 0
    tasks: int = 0
    seen: int = 0


class Deal(Word, frozen=True, array_like=True, tag=17):
    """The answer to the ask of that life and round: all that it holds, under one fence."""

    held: bytes = b""
    fence: int = 0


class Act(Word, frozen=True, array_like=True, tag=18):
    """A holder is at work on a task: `round` is the task's number. A steward that hears it is a place of effect."""

    fence: int = 0


class Seen(Word, frozen=True, array_like=True, tag=19):
    """The answer of a place to an act on a task (`round`) that is behind a later one: the fence that it has seen."""

    fence: int = 0


OfficeWords = Stand | Vote | Quit
TaskWords = Ask | Deal | Act | Seen


def sound(word: Word) -> bool:
    """Whether its fields can be meant."""
    if not (0 <= word.life < 1 << 63 and 0 <= word.round < 1 << 53):
        return False
    match word:
        case Stand() | Vote():
            return 0 <= word.top < 1 << 63
        case Ask():
            return len(word.wanted) == BITS == len(word.held) and min(word.to, word.office, word.taken, word.seen) >= 0
        case Deal():
            return len(word.held) == BITS and 0 <= word.fence < 1 << 63
        case Act() | Seen():
            return 0 < word.fence < 1 << 63
    return True


_decoder: msgspec.msgpack.Decoder[OfficeWords | TaskWords] = msgspec.msgpack.Decoder(OfficeWords | TaskWords)


def encode(word: Word) -> bytes:
    return msgspec.msgpack.encode(word)


def decode(data: bytes) -> OfficeWords | TaskWords | None:
    """None for what is no word of ours, or a newer one's that we do not know."""
    try:
        word = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    return word if sound(word) else None
