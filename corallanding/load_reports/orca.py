"""The body of a load report: ORCA's `xds.data.orca.v3.OrcaLoadReport`, as protobuf or JSON."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from ..json_errors import JSON_DECODE_ERRORS
from .errors import InvalidReportError

MAX_UTILIZATION = 100.0
MAX_RATE_PER_SECOND = 1e9
MAX_ERROR_TEXT_CHARS = 120

JSON_FIELDS = (
    ("cpu_utilization", "cpuUtilization"),
    ("application_utilization", "applicationUtilization"),
    ("rps_fractional", "rpsFractional"),
    ("eps", "eps"),
)
"""Names of the fields as in the proto file and in camel case."""

_decoder = msgspec.json.Decoder(dict)
BODY_ERRORS: tuple[type[Exception], ...] = (*JSON_DECODE_ERRORS, ValueError, TypeError)


@dataclass(frozen=True)
class ReportedLoad:
    """The used fields of an ORCA report. utilization: a fraction; rps_fractional, eps: requests, errors per second."""

    utilization: float
    rps_fractional: float = 0.0
    eps: float = 0.0


def checked_load(cpu: float, application: float, rps_fractional: float, eps: float) -> ReportedLoad:
    """Return the load, with the application utilization if reported (as other ORCA consumers do), else the CPU's.

    Raises `InvalidReportError` for a value out of bounds.
    """
    for name, value, maximum in (
        ("cpu_utilization", cpu, MAX_UTILIZATION),
        ("application_utilization", application, MAX_UTILIZATION),
        ("rps_fractional", rps_fractional, MAX_RATE_PER_SECOND),
        ("eps", eps, MAX_RATE_PER_SECOND),
    ):
        if not 0.0 <= value <= maximum:  # the comparison is false for NaN
            raise InvalidReportError(f"{name} {value:g} is not between 0 and {maximum:g}")
    return ReportedLoad(application or cpu, rps_fractional, eps)


def parse_json(body: bytes) -> ReportedLoad:
    """Parse a JSON body, with names as in the proto file or in camel case. Raises `InvalidReportError`."""
    try:
        raw: dict[str, Any] = _decoder.decode(body)
        values = [float(raw.get(name, raw.get(camel_case, 0.0))) for name, camel_case in JSON_FIELDS]
    except BODY_ERRORS as error:
        raise InvalidReportError(f"orca: {error}"[:MAX_ERROR_TEXT_CHARS]) from None
    return checked_load(*values)


def parse_protobuf(body: bytes) -> ReportedLoad:
    """Parse a protobuf body. Raises `InvalidReportError`.

    The imports are local because only the intake process needs the library.
    """
    from google.protobuf.message import DecodeError
    from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

    try:
        report = OrcaLoadReport.FromString(body)
    except DecodeError:
        raise InvalidReportError("orca: not a valid OrcaLoadReport") from None
    rps_fractional = report.rps_fractional or float(report.rps)
    return checked_load(report.cpu_utilization, report.application_utilization, rps_fractional, report.eps)
