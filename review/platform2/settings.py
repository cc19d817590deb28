"""The settings of a small deployment, within the ranges of the site `riga-yards`."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

ZONES = ["riga-north", "riga-south", "salaspils", "olaine"]


@dataclass
class Site:
    """The figures of a day.

    Times are in ms unless the name says otherwise; `extra` replaces settings by dotted path.
    """

    stewards: int = 1
    hosts: int = 24
    proxies: int = 36
    slices: int = 120
    rate: float = 150.0  # requests a second of all proxies
    lines_per_s: float = 11_500.0
    head: int = 8
    backlog: float = 17_300.0
    messages_most: int = 20
    messages_over: float = 10_000.0
    late: float = 150.0
    late_most: float = 400.0
    bare: float = 5_400.0
    drain_grace: float = 3_000.0
    fall: float = 3_000.0
    fall_multiple: float = 4.0
    cold: float = 12_000.0
    cold_from: float = 0.25
    report_every: float = 500.0
    intake_per_s: float = 200.0
    sync: float = 300.0  # until a proxy has read the store
    takeover: float = 2_000.0
    spread: float = 100.0  # until an agent has a new list
    memory_mb: int = 192
    sockets: int = 1_024
    extra: dict[str, Any] = field(default_factory=dict)

    def settings(self, me: int) -> dict[str, Any]:
        """Return the object `settings` of a steward's configuration: names and units are those of the wire."""
        value = {
            "balancers": self.stewards,
            "me": me,
            "zone": me % len(ZONES),
            "zones": ZONES,
            "kinds": ["std-4c"],
            "classes": [_quote(), _claim()],
            "discovery": "pushed",
            "family": "control",
            "familyInfo": self._family(),
            "goal": {"whole": 0.5, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.2},
            "limits": {
                "connIdle": 15_000_000,
                "cpuUsPerS": 600_000,
                "dialTimeout": 300_000,
                "mayProbe": True,
                "mayTell": False,
                "streamsPerConn": 32,
            },
            "loadReport": {"fields": [], "source": "off"},
            "period": 2_000,
            "prices": {"connection": 0.02, "crossZone": 0.005, "handshake": 0.04, "lateFail": 0.03, "probe": 0.02},
            "rules": {
                "askWithin": 10_000_000,
                "cold": us(self.cold),
                "coldFrom": self.cold_from,
                "drainGrace": us(self.drain_grace),
                "fall": us(self.fall),
                "fallMultiple": self.fall_multiple,
            },
            "valueBy": "request",
            "weights": "nominal",
        }
        for path, replacement in self.extra.items():
            *folders, name = path.split(".")
            target: Any = value
            for folder in folders:
                target = target[folder]
            target[name] = replacement
        return value

    def _family(self) -> dict[str, Any]:
        return {
            "admission": "fraction",
            "baseMode": 1,
            "blackhole": us(self.bare),
            "channelRate": self.lines_per_s,
            "defaultSize": 6,
            "ejects": 0,
            "homedByZone": False,
            "inFlightMax": 5_020_000,
            "intakePerS": self.intake_per_s,
            "keyRanges": self.slices,
            "lbMethod": "p2c",
            "lease": 800_000,
            "messagesOver": us(self.messages_over),
            "minConnCap": 494.0,
            "mostWaiting": self.backlog,
            "perMessage": float(self.head),
            "propagation": us(self.late),
            "proxies": self.proxies,
            "pushPrice": 0.02,
            "pushesAllowed": self.messages_most,
            "reassignPrice": 0.02,
            "reportEvery": us(self.report_every),
            "soleOwner": False,
            "tryAims": 1.2,
            "waitsForTable": 500_000,
            "warmKeys": True,
            "worstTransit": us(self.late_most),
            "writeClasses": [False, True],
            "zoneBound": [False, False],
        }


def us(ms: float) -> int:
    """Return a time in microseconds, the unit of the settings."""
    return int(ms * 1000)


def _quote() -> dict[str, Any]:
    return {
        "name": "quote",
        "aim": 1_200_000,
        "giveUp": 3_000_000,
        "group": "all",
        "idempotency": "repeatable",
        "lateWorth": 0.1,
        "window": 5_000_000,
        "worth": 3.0,
    }


def _claim() -> dict[str, Any]:
    return {
        "name": "claim",
        "aim": 1_500_000,
        "giveUp": 5_000_000,
        "group": "all",
        "idempotency": "once",
        "lateWorth": 0.2,
        "window": 5_000_000,
        "worth": 2.0,
    }
