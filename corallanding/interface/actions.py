"""What is to be done: actions, as the assigner gives them out."""

from __future__ import annotations

from dataclasses import dataclass

from .settings import Retry


@dataclass(frozen=True)
class SetLine:
    slice: int
    host: int
    weight: float


ALL_TABLES = 65535


@dataclass(frozen=True)
class Level:
    slice: int  # or ALL_TABLES
    operations: int  # a bit an operation; 0 stands for all
    amount: float
    retry: Retry


@dataclass(frozen=True)
class Cordon:
    host: int
    on: bool


@dataclass(frozen=True)
class ResetTable:
    slice: int


@dataclass(frozen=True)
class Point:
    proxy: int
    table: int
    operations: int


@dataclass(frozen=True)
class Mark:
    number: int
    everyone: bool = False


@dataclass(frozen=True)
class Remind:
    after: float
    handle: int


@dataclass(frozen=True)
class Probe:
    host: int


@dataclass(frozen=True)
class Follow:
    on: bool = True


@dataclass(frozen=True)
class FetchList:
    pass


@dataclass(frozen=True)
class Tell:
    peer: int | None
    payload: bytes


@dataclass(frozen=True)
class Note:
    text: str


Action = SetLine | Level | Cordon | ResetTable | Point | Mark | Remind | Probe | Follow | FetchList | Tell | Note
