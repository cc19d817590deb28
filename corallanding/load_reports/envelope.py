"""The envelope of a load report: its sender, sequence number and times, which ORCA itself does not contain.

Binary, big-endian: "oL", version, flags (1: JSON body, 2: signed), host u32, process u16, process start u64 (ms of the
wall clock, as in the host list), seq u64, uptime f64 (ms on the process's monotonic clock), time of sending f64 (ms of
the wall clock), echoed nonce of 8 bytes, then 16 bytes of MAC if signed, then the body. A datagram that begins with "{"
is one JSON object with the same fields.
"""

from __future__ import annotations

import hashlib
import hmac
import math
import struct
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from ..json_errors import JSON_DECODE_ERRORS
from .errors import InvalidReportError
from .orca import MAX_ERROR_TEXT_CHARS, ReportedLoad, parse_json, parse_protobuf

MAGIC = b"oL"
VERSION = 1
JSON_BODY = 1
"""Flag: the body is JSON."""
SIGNED = 2
"""Flag: a MAC precedes the body."""
HEADER = struct.Struct(">2sBBIHQQdd8s")
MAC_BYTES = 16
NO_NONCE = b"\0" * 8
ENVELOPE_ERRORS: tuple[type[Exception], ...] = (*JSON_DECODE_ERRORS, ValueError, struct.error)
MIN_REPORT_BYTES = HEADER.size
MAX_REPORT_BYTES = 4096


@dataclass(frozen=True)
class ReportHeader:
    """The sender of a report, and its times in ms. echoed_nonce: the last nonce that the sender received."""

    host: int
    process: int
    process_started_ms: int
    seq: int
    uptime_ms: float
    sent_at_ms: float
    echoed_nonce: bytes = NO_NONCE


class Report(NamedTuple):
    """A valid report."""

    header: ReportHeader
    load: ReportedLoad


class _Envelope(NamedTuple):
    """A decoded envelope. signed_header: the bytes that the MAC covers together with the body."""

    header: ReportHeader
    signed_header: bytes
    mac: bytes
    body: bytes
    is_json: bool


class _JsonReport(msgspec.Struct):
    """The JSON encoding; the field names are sent."""

    host: int
    process: int
    started: int
    seq: int
    uptime: float
    at: float
    orca: msgspec.Raw
    echo: str = ""
    mac: str = ""


_json_decoder = msgspec.json.Decoder(_JsonReport)


def _mac(key: bytes, header: bytes, body: bytes) -> bytes:
    return hmac.digest(key, header + body, hashlib.sha256)[:MAC_BYTES]


def _pack_header(header: ReportHeader, flags: int) -> bytes:
    return HEADER.pack(
        MAGIC,
        VERSION,
        flags,
        header.host,
        header.process,
        header.process_started_ms,
        header.seq,
        header.uptime_ms,
        header.sent_at_ms,
        header.echoed_nonce,
    )


def encode_binary(header: ReportHeader, body: bytes, key: bytes | None = None, *, is_json: bool = False) -> bytes:
    """Return the report in binary encoding, signed if a key is given. is_json: the body is JSON."""
    raw = _pack_header(header, (JSON_BODY if is_json else 0) | (SIGNED if key else 0))
    return raw + (_mac(key, raw, body) if key else b"") + body


def encode_json(header: ReportHeader, body: bytes, key: bytes | None = None) -> bytes:
    """Return the report as one JSON object. The MAC covers the binary header and the bytes of the body."""
    mac = _mac(key, _pack_header(header, JSON_BODY | SIGNED), body).hex() if key else ""
    row = {
        "host": header.host,
        "process": header.process,
        "started": header.process_started_ms,
        "seq": header.seq,
        "uptime": header.uptime_ms,
        "at": header.sent_at_ms,
        "echo": header.echoed_nonce.hex(),
        "mac": mac,
        "orca": msgspec.Raw(body),
    }
    return msgspec.json.encode(row)


def read_sender(data: bytes) -> tuple[int, int]:
    """Return host and process of a report at low cost; the rest of it is not checked.

    Raises `InvalidReportError` if the bytes are too long or have no sender.
    """
    if len(data) > MAX_REPORT_BYTES:
        raise InvalidReportError(f"report of {len(data)} bytes; at most {MAX_REPORT_BYTES} are allowed")
    if data[:1] == b"{":
        try:
            report = _json_decoder.decode(data)
        except JSON_DECODE_ERRORS as error:
            raise InvalidReportError(str(error)[:MAX_ERROR_TEXT_CHARS]) from None
        return report.host, report.process
    if len(data) < HEADER.size or data[:2] != MAGIC:
        raise InvalidReportError("not a load report")
    return int.from_bytes(data[4:8], "big"), int.from_bytes(data[8:10], "big")


def _decode_json(data: bytes) -> _Envelope:
    try:
        report = _json_decoder.decode(data)
        nonce = bytes.fromhex(report.echo) or NO_NONCE
        mac = bytes.fromhex(report.mac)
        header = ReportHeader(report.host, report.process, report.started, report.seq, report.uptime, report.at, nonce)
        signed_header = _pack_header(header, JSON_BODY | SIGNED)
    except ENVELOPE_ERRORS as error:
        raise InvalidReportError(f"header: {error}"[:MAX_ERROR_TEXT_CHARS]) from None
    return _Envelope(header, signed_header, mac, bytes(report.orca), is_json=True)


def _decode_binary(data: bytes) -> _Envelope:
    if len(data) < HEADER.size:
        raise InvalidReportError("not a load report")
    _, version, flags, *fields = HEADER.unpack_from(data)
    if version != VERSION:
        raise InvalidReportError(f"unsupported version {version}; expected {VERSION}")
    mac_and_body = data[HEADER.size :]
    mac_size = MAC_BYTES if flags & SIGNED else 0
    signed_header = data[: HEADER.size]
    is_json = bool(flags & JSON_BODY)
    return _Envelope(ReportHeader(*fields), signed_header, mac_and_body[:mac_size], mac_and_body[mac_size:], is_json)


def _decode_envelope(data: bytes, key: bytes | None) -> _Envelope:
    """Decode and check the envelope.

    Raises `InvalidReportError`, also for a missing or wrong MAC if there is a key.
    """
    envelope = _decode_json(data) if data[:1] == b"{" else _decode_binary(data)
    header = envelope.header
    if not (math.isfinite(header.uptime_ms) and math.isfinite(header.sent_at_ms)) or header.uptime_ms < 0:
        raise InvalidReportError("uptime or time of sending is not a valid time")
    if key is not None:
        expected = _mac(key, envelope.signed_header, envelope.body)
        if len(envelope.mac) != MAC_BYTES or not hmac.compare_digest(envelope.mac, expected):
            raise InvalidReportError("MAC is missing or wrong")
    return envelope


def is_authentic(data: bytes, key: bytes) -> bool:
    """Return whether the MAC is correct. Checked first, so that a forged report cannot take a sender's slot."""
    if data[:1] != b"{":
        if len(data) < HEADER.size + MAC_BYTES or not data[3] & SIGNED:
            return False
        mac = data[HEADER.size : HEADER.size + MAC_BYTES]
        return hmac.compare_digest(mac, _mac(key, data[: HEADER.size], data[HEADER.size + MAC_BYTES :]))
    try:
        _decode_envelope(data, key)
    except InvalidReportError:
        return False
    return True


def read_report(data: bytes, key: bytes | None) -> Report:
    """Decode and check a complete report. Raises `InvalidReportError`."""
    envelope = _decode_envelope(data, key)
    load = parse_json(envelope.body) if envelope.is_json else parse_protobuf(envelope.body)
    return Report(envelope.header, load)
