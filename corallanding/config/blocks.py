"""What all blocks of a configuration are made of."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from ..endpoints.endpoint_list import parse_loopback_address

MAX_MS = 86_400_000  # a day


def on_loopback(address: str) -> str:
    """The address as it stands. Raises ValueError if it is no loopback address with a port."""
    parse_loopback_address(address)
    return address


Address = Annotated[str, AfterValidator(on_loopback)]
PositiveMs = Annotated[float, Field(gt=0, le=MAX_MS)]
NonNegativeMs = Annotated[float, Field(ge=0, le=MAX_MS)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Ratio = Annotated[float, Field(ge=0, le=1)]


class Block(BaseModel):
    """One block of a configuration file: unknown keys are errors, and nothing changes once it is read."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)
