"""Blocks of the sources of hosts and of their state: host list, registry, health checks, load reports."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, model_validator

from .blocks import Address, Block, Count, PositiveMs, Ratio


class HostListBlock(Block):
    """The source of the host list: one address that pushes it or is polled."""

    address: Address | None = None
    mode: Literal["pushed", "on_request"] = "pushed"
    ask_within_ms: PositiveMs = 10000.0
    weights: Literal["off", "nominal", "rough", "live"] = "off"
    hosts_most: Count = 10_000
    line_most_bytes: Annotated[int, Field(ge=1024, le=1 << 28)] = 4 << 20
    wait_ms: PositiveMs = 100.0
    wait_most_ms: PositiveMs = 2000.0
    timeout_ms: PositiveMs = 2000.0


class RegistryBlock(Block):
    """A key-value registry as the source of hosts. See docs/registry.md; times in ms."""

    kind: Literal["etcd", "consul"] = "etcd"
    address: Address
    others: Annotated[list[Address], Field(max_length=16)] = Field(
        default_factory=list
    )  # further members of the same registry
    prefix: Annotated[str, Field(min_length=1, max_length=200)] = "/corallanding/hosts/"
    timeout_ms: PositiveMs = 2000.0
    wait_ms: PositiveMs = 100.0
    wait_most_ms: PositiveMs = 10000.0
    reads_per_min: Annotated[float, Field(gt=0, le=6000)] = 6.0
    page: Annotated[int, Field(ge=1, le=100000)] = 1000
    block_ms: PositiveMs = 10000.0
    token_file: str | None = None
    ca_file: str | None = None
    certificate_file: str | None = None
    key_file: str | None = None
    server_name: str | None = None
    charge: bool = False  # several controllers lease slices in the registry
    base: Annotated[str, Field(min_length=1, max_length=200)] = "/corallanding/stewards/"
    lease_ms: Annotated[float, Field(ge=1000, le=600_000)] = 5000.0
    write_within_ms: PositiveMs = 500.0
    retire_within_ms: PositiveMs = 5000.0

    @model_validator(mode="after")
    def check_kind(self) -> RegistryBlock:
        """Check that related keys are set together and suit the kind of the registry. Raises ValueError."""
        if (self.certificate_file is None) != (self.key_file is None):
            raise ValueError("certificate_file and key_file must be set together")
        if self.certificate_file and not self.ca_file:
            raise ValueError("certificate_file needs ca_file")
        if self.kind == "consul" and self.ca_file:
            raise ValueError("ca_file: TLS is for kind etcd")
        if self.kind == "consul" and self.others:
            raise ValueError("others: further members are for kind etcd")
        if self.kind == "consul" and self.charge:
            raise ValueError("charge: leases and fenced writes are for kind etcd")
        if self.prefix.startswith(self.base):
            raise ValueError("prefix must not begin with base: keys of hosts and of stewards must be separate")
        return self


class HealthCheckBlock(Block):
    """Health checks: whether the controller sends them, and how."""

    allowed: bool = True
    path: Annotated[str, Field(pattern=r"^/[!-~]*$", max_length=200)] = "/health"
    timeout_ms: PositiveMs = 250.0
    most_in_flight: Annotated[int, Field(ge=1, le=10000)] = 16
    most_waiting: Annotated[int, Field(ge=1, le=100000)] = 1000


class LoadReportsBlock(Block):
    """Load reports of hosts. See docs/reports.md; times in ms."""

    listen: Address
    key_file: str | None = None
    half_life_ms: PositiveMs = 5000.0
    expiry_ms: PositiveMs = 20000.0
    window_ms: PositiveMs = 5000.0
    step: Annotated[float, Field(ge=0.05, le=1)] = 0.25
    floor: Annotated[float, Field(ge=0.1, le=1)] = 0.5
    busy_from: Annotated[float, Field(gt=0, le=1)] = 0.4
    tolerance: Annotated[float, Field(ge=0, le=2)] = 0.4
    gain: Annotated[float, Field(gt=0, le=1)] = 0.5
    reporting_least: Ratio = 0.5
    changes_most: Annotated[float, Field(gt=0, le=1)] = 0.1
    stuck_after_ms: PositiveMs = 60000.0
    processes_most: Annotated[int, Field(ge=1, le=65536)] = 64
    sender_rate: Annotated[float, Field(gt=0, le=1000)] = 4.0
    sender_burst: Annotated[float, Field(ge=1, le=1000)] = 4.0
    reports_per_s: Annotated[float, Field(ge=1, le=1e6)] = 2000.0
    tick_ms: Annotated[float, Field(ge=1, le=1000)] = 50.0
    streams_most: Annotated[int, Field(ge=0, le=10000)] = 256
    buffer_bytes: Annotated[int, Field(ge=4096, le=1 << 28)] = 4 << 20

    @model_validator(mode="after")
    def check_expiry(self) -> LoadReportsBlock:
        """Check that reports expire after at least two half-lives. Raises ValueError."""
        if self.expiry_ms < 2 * self.half_life_ms:
            raise ValueError("expiry_ms must be at least two times half_life_ms")
        return self
