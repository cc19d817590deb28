"""Words of the membership: msgpack arrays, small enough for one datagram between stewards."""

from __future__ import annotations

import msgspec

News = tuple[int, int, int]  # steward, state, incarnation
NEWS_MOST = 12  # in one word: 12 of at most 13 bytes each, beside a head of at most 40


class MembershipMessage(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    """seq: the prober's count. life: drawn anew by each process, so that two under one number are told apart."""

    seq: int
    life: int
    incarnation: int
    news: list[News]


class Ping(MembershipMessage, frozen=True, array_like=True, tag=1):
    """For `aim` as the prober knows it: a word that was meant for another number is refused."""

    aim: int = -1


class Ack(MembershipMessage, frozen=True, array_like=True, tag=2):
    """The answer to a ping; `of`: the steward that was asked about, where the answer is passed on."""

    of: int = -1


class PingRequest(MembershipMessage, frozen=True, array_like=True, tag=3):
    """To a third: ping `aim` for me."""

    aim: int = -1


_decoder: msgspec.msgpack.Decoder[Ping | Ack | PingRequest] = msgspec.msgpack.Decoder(Ping | Ack | PingRequest)


def encode(word: Ping | Ack | PingRequest) -> bytes:
    return msgspec.msgpack.encode(word)


def decode(data: bytes) -> Ping | Ack | PingRequest | None:
    """None for what is no word of ours, or a newer one's that we do not know."""
    try:
        word = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    return word if sound(word) else None


def sound(word: MembershipMessage) -> bool:
    """Whether its fields can be meant."""
    return len(word.news) <= NEWS_MOST
