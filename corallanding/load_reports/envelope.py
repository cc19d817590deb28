"""One load report: an ORCA body in an envelope that says who sent it, from which process, in which order.

Source of the body: Open Request Cost Aggregation, `xds.data.orca.v3.OrcaLoadReport`, as protobuf or as its JSON
form. ORCA names no sender and no time; the envelope does. Binary, big-endian: "oL", version, flags (1: JSON body,
2: signed), host u32, process u16, started u64 (wall-clock ms of the process start, as the roster has it), seq u64,
uptime f64 (ms on the process's monotonic clock), at f64 (wall-clock ms), echo 8 bytes, then 16 bytes of MAC if
signed, then the body. A datagram that begins with "{" is the same as one JSON object.
"""

from __future__ import annotations

import hashlib
import hmac
import math
import struct
from dataclasses import dataclass
from typing import Any

import msgspec

MAGIC, VERSION = b"oL", 1
JSON_BODY, SIGNED = 1, 2
HEAD = struct.Struct(">2sBBIHQQdd8s")
MAC = 16
NO_ECHO = b"\0" * 8
MOST = 4096  # bytes of one report
MOST_LOAD = 100.0  # a utilization above this is no utilization


class BadReport(Exception):
    """Bytes that are no report, or a figure out of its bounds. The text names which."""


@dataclass(frozen=True)
class Head:
    """Who, in which order, when. Times in ms; `echo` is the last tick that the sender got from this steward."""

    host: int
    process: int
    started: int
    seq: int
    uptime: float
    at: float
    echo: bytes = NO_ECHO


@dataclass(frozen=True)
class Load:
    """What the module's side needs of an ORCA report. Utilizations are shares; rps and eps a second."""

    utilization: float
    rps: float = 0.0
    eps: float = 0.0


class JsonReport(msgspec.Struct):
    host: int
    process: int
    started: int
    seq: int
    uptime: float
    at: float
    orca: msgspec.Raw
    echo: str = ""
    mac: str = ""


_json = msgspec.json.Decoder(JsonReport)
_body = msgspec.json.Decoder(dict)


def mac_of(key: bytes, head: bytes, body: bytes) -> bytes:
    return hmac.digest(key, head + body, hashlib.sha256)[:MAC]


def packed(h: Head, flags: int) -> bytes:
    return HEAD.pack(MAGIC, VERSION, flags, h.host, h.process, h.started, h.seq, h.uptime, h.at, h.echo)


def pack(head: Head, body: bytes, key: bytes | None = None, json_body: bool = False) -> bytes:
    """A binary report, signed if a key is given."""
    raw = packed(head, (JSON_BODY if json_body else 0) | (SIGNED if key else 0))
    return raw + (mac_of(key, raw, body) if key else b"") + body


def pack_json(h: Head, body: bytes, key: bytes | None = None) -> bytes:
    """The same as one JSON object; the MAC is over the binary head and the body's bytes."""
    mac = mac_of(key, packed(h, JSON_BODY | SIGNED), body).hex() if key else ""
    row = {"host": h.host, "process": h.process, "started": h.started, "seq": h.seq, "uptime": h.uptime, "at": h.at}
    return msgspec.json.encode({**row, "echo": h.echo.hex(), "mac": mac, "orca": msgspec.Raw(body)})


def sender(data: bytes) -> tuple[int, int]:
    """Host and process of a report, looked at as cheaply as possible: nothing else of it is checked.

    Raises `BadReport` if the bytes are not even that.
    """
    if len(data) > MOST:
        raise BadReport(f"{len(data)} bytes; {MOST} are allowed")
    if data[:1] == b"{":
        try:
            found = _json.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as fault:
            raise BadReport(str(fault)[:120]) from None
        return found.host, found.process
    if len(data) < HEAD.size or data[:2] != MAGIC:
        raise BadReport("no report")
    return int.from_bytes(data[4:8], "big"), int.from_bytes(data[8:10], "big")


def open_report(data: bytes, key: bytes | None) -> tuple[Head, bytes, bool]:
    """Head, body, and whether the body is JSON. Raises `BadReport`, also for a missing or wrong MAC."""
    if data[:1] == b"{":
        try:
            j = _json.decode(data)
            echo, mac = bytes.fromhex(j.echo) or NO_ECHO, bytes.fromhex(j.mac)
            head = Head(j.host, j.process, j.started, j.seq, j.uptime, j.at, echo)
            raw, body, flags = packed(head, JSON_BODY | SIGNED), bytes(j.orca), JSON_BODY
        except (msgspec.DecodeError, ValueError, struct.error, UnicodeDecodeError) as fault:
            raise BadReport(f"head: {fault}"[:120]) from None
    else:
        if len(data) < HEAD.size:
            raise BadReport("no report")
        _, version, flags, *fields = HEAD.unpack_from(data)
        if version != VERSION:
            raise BadReport(f"version {version}; this side reads {VERSION}")
        head, raw, rest = Head(*fields), data[: HEAD.size], data[HEAD.size :]
        mac, body = (rest[:MAC], rest[MAC:]) if flags & SIGNED else (b"", rest)
    if not (math.isfinite(head.uptime) and math.isfinite(head.at)) or head.uptime < 0:
        raise BadReport("uptime or time is no time")
    if key is not None and not (len(mac) == MAC and hmac.compare_digest(mac, mac_of(key, raw, body))):
        raise BadReport("forged")
    return head, body, bool(flags & JSON_BODY)


def genuine(data: bytes, key: bytes) -> bool:
    """Whether the MAC is right, before anything else is looked at: what is forged must not even take a slot."""
    if data[:1] != b"{":
        if len(data) < HEAD.size + MAC or not data[3] & SIGNED:
            return False
        mac = data[HEAD.size : HEAD.size + MAC]
        return hmac.compare_digest(mac, mac_of(key, data[: HEAD.size], data[HEAD.size + MAC :]))
    try:
        open_report(data, key)
    except BadReport:
        return False
    return True


def load_of(cpu: float, application: float, rps: float, eps: float) -> Load:
    """Application utilization where a host states one (as ORCA's consumers do), else CPU's."""
    for name, value, most in (
        ("cpu_utilization", cpu, MOST_LOAD),
        ("application_utilization", application, MOST_LOAD),
        ("rps_fractional", rps, 1e9),
        ("eps", eps, 1e9),
    ):
        if not 0.0 <= value <= most:  # also what is no number
            raise BadReport(f"{name} {value:g} is not within 0 and {most:g}")
    return Load(application or cpu, rps, eps)


def orca_json(body: bytes) -> Load:
    """The JSON form, with names as in the proto file or in camel case."""
    try:
        raw: dict[str, Any] = _body.decode(body)
        get = [
            float(raw.get(a, raw.get(b, 0.0)))
            for a, b in (
                ("cpu_utilization", "cpuUtilization"),
                ("application_utilization", "applicationUtilization"),
                ("rps_fractional", "rpsFractional"),
                ("eps", "eps"),
            )
        ]
    except (msgspec.DecodeError, ValueError, TypeError, UnicodeDecodeError) as fault:
        raise BadReport(f"orca: {fault}"[:120]) from None
    return load_of(*get)


def orca_protobuf(body: bytes) -> Load:
    """The protobuf form. Only the intake process imports the library."""
    from google.protobuf.message import DecodeError
    from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

    try:
        r = OrcaLoadReport.FromString(body)
    except DecodeError:
        raise BadReport("orca: no OrcaLoadReport") from None
    return load_of(r.cpu_utilization, r.application_utilization, r.rps_fractional or float(r.rps), r.eps)


def read(data: bytes, key: bytes | None) -> tuple[Head, Load]:
    """A whole report, checked. Raises `BadReport`."""
    head, body, json_body = open_report(data, key)
    return head, orca_json(body) if json_body else orca_protobuf(body)
