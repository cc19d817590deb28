"""The release register as one integer."""

from __future__ import annotations

from corallanding.version_pinning.release_register import ReleaseRegister, unpack_register


def test_release_register_when_packed_then_unpacks_to_the_same() -> None:
    for register in (
        ReleaseRegister(1, 1, (1,)),
        ReleaseRegister(7, 1_023, (1_023, 4, 9), 2),
        ReleaseRegister(2, 5, (3, 5), 1),
    ):
        assert unpack_register(register.pack()) == register
        assert register.pack() < 1 << 63
    for value in (
        0,
        3,
        ReleaseRegister(1, 2, (3,)).pack(),
        ReleaseRegister(1, 3, (3, 3), 1).pack(),
        ReleaseRegister(1, 3, (3,), 3).pack(),
    ):
        assert unpack_register(value) is None
