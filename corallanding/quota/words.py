"""Words between stewards on budgets: msgpack arrays, each within one datagram."""

from __future__ import annotations

import msgspec

# budget, subject, wanted, what a good grant holds, the most that may be in use, round of the grant that was taken up
Row = tuple[int, int, int, int, int, int]
Given = tuple[int, int, int]  # budget, subject, amount


class Word(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    """life: drawn by each process at its start. round: its own count, never less than before."""

    life: int
    round: int


class Stand(Word, frozen=True, array_like=True, tag=11):
    """Vote for me as divider; `holds`: I have the office already. electorate: a digest of the voters as I know them."""

    holds: bool = False
    electorate: int = 0


class Vote(Word, frozen=True, array_like=True, tag=12):
    """The answer to the round of that life."""

    given: bool = False


class Quit(Word, frozen=True, array_like=True, tag=13):
    """Votes up to this round are of no use to me."""


class Want(Word, frozen=True, array_like=True, tag=14):
    """to, office: life and round of the last word by which that divider said that it holds the office. So it knows that
    what a row says was so in its own term, and that no former divider can have lent it to another since."""

    to: int = 0
    office: int = 0
    rows: list[Row] = []


class Give(Word, frozen=True, array_like=True, tag=15):
    """The answer to the want of that life and round."""

    rows: list[Given] = []


Words = Stand | Vote | Quit | Want | Give
_decoder: msgspec.msgpack.Decoder[Words] = msgspec.msgpack.Decoder(Words)


def encode(word: Words) -> bytes:
    return msgspec.msgpack.encode(word)


def decode(data: bytes) -> Words | None:
    """None for what is no word of ours, or a newer one's that we do not know."""
    try:
        word = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    if word.life < 0 or word.round < 0:
        return None
    if isinstance(word, Want) and any(min(row) < 0 for row in word.rows):
        return None
    return None if isinstance(word, Give) and any(row[2] < 0 for row in word.rows) else word
