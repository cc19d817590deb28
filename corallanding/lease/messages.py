"""Words between stewards on an office and on tasks: msgpack arrays, each within one datagram."""

from __future__ import annotations

import msgspec

BITS = 32  # bytes of a set of shards


class ControllerMessage(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    """life: drawn by each process at its start. round: its own count, never less than before."""

    life: int
    round: int


class VoteRequest(ControllerMessage, frozen=True, array_like=True, tag=11):
    """Vote for me; `holds`: I have the office already. electorate: a digest of the voters as I know them. top: no fence
    that I give out goes beyond it until this word has a majority's votes."""

    holds: bool = False
    electorate: int = 0
    top: int = 0


class VoteReply(ControllerMessage, frozen=True, array_like=True, tag=12):
    """The answer to the round of that life. top: the highest that any candidate told this voter."""

    given: bool = False
    top: int = 0


class VoteRelease(ControllerMessage, frozen=True, array_like=True, tag=13):
    """Votes up to this round are of no use to me."""


class LeaseRequest(ControllerMessage, frozen=True, array_like=True, tag=16):
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


class LeaseGrant(ControllerMessage, frozen=True, array_like=True, tag=17):
    """The answer to the ask of that life and round: all that it holds, under one fence."""

    held: bytes = b""
    fence: int = 0


class FencedAction(ControllerMessage, frozen=True, array_like=True, tag=18):
    """A holder is at work on a task: `round` is the task's number. A steward that hears it is a place of effect."""

    fence: int = 0


class ActionRejected(ControllerMessage, frozen=True, array_like=True, tag=19):
    """The answer of a place to an act on a task (`round`) that is behind a later one: the fence that it has seen."""

    fence: int = 0


ElectionMessage = VoteRequest | VoteReply | VoteRelease
LeaseMessage = LeaseRequest | LeaseGrant | FencedAction | ActionRejected


def sound(word: ControllerMessage) -> bool:
    """Whether its fields can be meant."""
    if not (0 <= word.life < 1 << 63 and 0 <= word.round < 1 << 53):
        return False
    match word:
        case VoteRequest() | VoteReply():
            return 0 <= word.top < 1 << 63
        case LeaseRequest():
            return len(word.wanted) == BITS == len(word.held) and min(word.to, word.office, word.taken, word.seen) >= 0
        case LeaseGrant():
            return len(word.held) == BITS and 0 <= word.fence < 1 << 63
        case FencedAction() | ActionRejected():
            return 0 < word.fence < 1 << 63
    return True


_decoder: msgspec.msgpack.Decoder[ElectionMessage | LeaseMessage] = msgspec.msgpack.Decoder(
    ElectionMessage | LeaseMessage
)


def encode(word: ControllerMessage) -> bytes:
    return msgspec.msgpack.encode(word)


def decode(data: bytes) -> ElectionMessage | LeaseMessage | None:
    """None for what is no word of ours, or a newer one's that we do not know."""
    try:
        word = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    return word if sound(word) else None
