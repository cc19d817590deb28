"""Base class and value types of the blocks of a configuration."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from ..endpoints.endpoint_list import parse_loopback_address

MAX_MS = 86_400_000  # one day


def check_loopback(address: str) -> str:
    """Return the address unchanged. Raises ValueError if it is not a loopback address with a port."""
    parse_loopback_address(address)
    return address


Address = Annotated[str, AfterValidator(check_loopback)]
PositiveMs = Annotated[float, Field(gt=0, le=MAX_MS)]
NonNegativeMs = Annotated[float, Field(ge=0, le=MAX_MS)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Ratio = Annotated[float, Field(ge=0, le=1)]


class Block(BaseModel):
    """One block of a configuration file. Unknown keys are errors; the values are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)
