"""Encodings of reports, signatures, and rejected reports."""

from __future__ import annotations

import json
import math

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corallanding.load_reports.envelope import (
    HEADER,
    ReportHeader,
    encode_binary,
    encode_json,
    is_authentic,
    read_report,
    read_sender,
)
from corallanding.load_reports.errors import InvalidReportError
from corallanding.load_reports.orca import ReportedLoad
from tests.load_reports.support import HEADER_1, KEY, ORCA, orca


@pytest.mark.parametrize("key", [None, KEY])
def test_report_when_in_any_encoding_then_it_decodes_to_the_same(key: bytes | None) -> None:
    expected = (HEADER_1, ReportedLoad(0.7, 12.5, 0.5))
    snake = b'{"cpu_utilization": 0.4, "application_utilization": 0.7, "rps_fractional": 12.5, "eps": 0.5}'
    camel = b'{"cpuUtilization": 0.4, "applicationUtilization": 0.7, "rpsFractional": 12.5, "eps": 0.5}'
    for data in (
        encode_binary(HEADER_1, ORCA.SerializeToString(), key),
        encode_binary(HEADER_1, snake, key, is_json=True),
        encode_binary(HEADER_1, camel, key, is_json=True),
        encode_json(HEADER_1, snake, key),
        encode_json(HEADER_1, camel, key),
    ):
        assert read_report(data, key) == expected
        assert read_sender(data) == (7, 3)


def test_report_when_without_application_utilization_then_cpu_and_old_rps_count() -> None:
    data = encode_binary(HEADER_1, orca(cpu_utilization=0.4, rps=9))
    assert read_report(data, None).load == ReportedLoad(0.4, 9.0, 0.0)


def test_report_when_forged_or_out_of_bounds_then_the_error_names_the_fault() -> None:
    signed = encode_binary(HEADER_1, ORCA.SerializeToString(), KEY)
    unsigned = encode_binary(HEADER_1, ORCA.SerializeToString())
    for data in (unsigned, encode_binary(HEADER_1, b"", b"other"), signed[:-1], encode_json(HEADER_1, b"{}")):
        assert not is_authentic(data, KEY)
        with pytest.raises(InvalidReportError, match="MAC is missing or wrong"):
            read_report(data, KEY)
    assert is_authentic(signed, KEY)
    assert is_authentic(encode_json(HEADER_1, b"{}", KEY), KEY)
    for position in (5, 10, 20, 30, len(signed) - 3):  # a change of any byte
        changed = bytearray(signed)
        changed[position] ^= 1
        with pytest.raises(InvalidReportError):
            read_report(bytes(changed), KEY)
    for fields, message in (
        ({"cpu_utilization": -0.1}, "cpu_utilization -0.1 is not between 0 and 100"),
        ({"application_utilization": math.nan}, "application_utilization nan"),
        ({"eps": math.inf}, "eps inf"),
        ({"cpu_utilization": 1e9}, "cpu_utilization 1e[+]09"),
    ):
        with pytest.raises(InvalidReportError, match=message):
            read_report(encode_binary(HEADER_1, orca(**fields)), None)
    with pytest.raises(InvalidReportError, match="uptime"):
        read_report(encode_binary(ReportHeader(1, 1, 1, 1, math.nan, 0.0), b""), None)


@given(st.binary(max_size=200) | st.binary(max_size=100).map(lambda b: b"oL\x01\x00" + b))
@settings(max_examples=400, deadline=None)
def test_bytes_when_random_then_they_are_a_report_or_an_error(data: bytes) -> None:
    for read in (read_sender, lambda data: read_report(data, None), lambda data: read_report(data, KEY)):
        try:
            read(data)
        except InvalidReportError:
            continue


def test_header_when_encoded_then_it_is_as_documented() -> None:
    """The bytes are as docs/reports.md describes them to other implementations."""
    raw = encode_binary(HEADER_1, b"")
    assert raw[:4] == b"oL\x01\x00"
    assert HEADER.size == 50
    assert len(raw) == 50
    assert raw[4:10] == bytes([0, 0, 0, 7, 0, 3])
    assert raw[-8:] == b"12345678"
    as_json = json.loads(encode_json(HEADER_1, b'{"eps": 1}'))
    assert as_json["orca"] == {"eps": 1}
    assert as_json["seq"] == 9
    assert msgspec.json.encode(as_json)


def test_report_when_its_json_is_nested_too_deeply_then_it_is_rejected_like_any_other() -> None:
    """Guards against an error of the decoder that is not one of malformed JSON."""
    nested = b"[" * 1_900 + b"]" * 1_900
    with pytest.raises(InvalidReportError):
        read_sender(encode_json(HEADER_1, nested))
    data = encode_binary(HEADER_1, b'{"cpu_utilization": ' + nested + b"}", is_json=True)
    assert read_sender(data) == (7, 3)
    with pytest.raises(InvalidReportError):
        read_report(data, None)
