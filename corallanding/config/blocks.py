"""What all blocks of a configuration are made of."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from ..endpoints.endpoint_list import loopback


def on_loopback(address: str) -> str:
    loopback(address)
    return address


Address = Annotated[str, AfterValidator(on_loopback)]
Ms = Annotated[float, Field(gt=0, le=86_400_000)]
MsOrNone = Annotated[float, Field(ge=0, le=86_400_000)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Ratio = Annotated[float, Field(ge=0, le=1)]


class Block(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)
