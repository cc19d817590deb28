"""The registry's client on sockets, against the stand-in: breaks, compaction, laggards, restores, TLS, Consul."""

from __future__ import annotations

import asyncio
import datetime
import ipaddress
import json
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import grpc
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from sockets import CONFIG, Running, until

from corallanding import interface as api
from corallanding.config import ConfigError, load_controller
from corallanding.config.sources import RegistryBlock
from corallanding.endpoints.endpoint_list import EndpointList
from corallanding.lab.registry import Registry
from corallanding.registry.source import RegistrySource, host_row, make_source
from corallanding.registry.watch_messages import KeyValue

PREFIX = "/corallanding/hosts/"


def host(n: int, **more: Any) -> dict[str, Any]:
    return {"address": f"127.0.0.1:{9000 + n}", "state": "up", **more}


class Seat:
    """Where a source tells: keeps the view as a steward does, and its whole history by version."""

    def __init__(self) -> None:
        self.view, self.failures = EndpointList(), list[str]()
        self.history: list[tuple[bool, int, dict[int, str]]] = []

    def on_host_rows(self, full: bool, version: int, rows: list[Any]) -> None:
        self.view.apply(0.0, 0.0, full, version, rows)
        states = {h: e.state + str(e.weight) for h, e in self.view.entries.items()}
        self.history.append((full, version, states))

    def on_source_failure(self, why: str) -> None:
        self.failures.append(why)


def truth(r: Registry, at: int | None = None) -> dict[int, str]:
    out = {}
    for key, v in r.store.at(r.store.revision if at is None else at).items():
        if key.startswith(PREFIX.encode()):
            row = json.loads(v.value)
            out[int(key[len(PREFIX) :])] = row["state"] + str(float(row.get("weight", 1.0)))
    return out


def source(r: Registry, seat: Seat, **more: Any) -> RegistrySource:
    port = r.consul_port if more.get("kind") == "consul" else r.port
    block = {
        "address": f"127.0.0.1:{port}",
        "wait_ms": 20,
        "wait_most_ms": 200,
        "timeout_ms": 1000,
        "page": 3,
        "reads_per_min": 600,
        "block_ms": 1000,
        **more,
    }
    made = make_source(RegistryBlock(**block), seat, lambda: time.monotonic() * 1000.0, random.Random(1).random)
    made.start()
    return made


def play(work: Callable[[Registry, Seat], Any], credentials: Any = None) -> None:
    async def scene() -> None:
        async with asyncio.timeout(40):
            r = Registry(credentials=credentials)
            await r.start()
            try:
                await work(r, Seat())
            finally:
                await r.stop()

    asyncio.run(scene())


def same(r: Registry, seat: Seat) -> bool:
    return bool(seat.history) and seat.history[-1][2] == truth(r)


@pytest.mark.parametrize("kind", ["etcd", "consul"])
def test_every_change_arrives_once_and_in_order(kind: str) -> None:
    async def scene(r: Registry, seat: Seat) -> None:
        for n in range(7):  # more than two pages
            await r.put(f"{PREFIX}{n}", host(n))
        s = source(r, seat, kind=kind)
        await until(lambda: same(r, seat))
        assert [h[0] for h in seat.history] == [True]
        for n in range(12):
            await r.put(f"{PREFIX}{n % 5}", host(n % 5, weight=1.0 + n))
            await r.put("/elsewhere", n)
            await asyncio.sleep(0.02)
        await r.put(f"{PREFIX}6", None)
        await until(lambda: same(r, seat))
        versions = [h[1] for h in seat.history]
        assert versions == sorted(set(versions))
        assert seat.history[-1][2][0] == "up11.0"
        for full, version, states in seat.history:
            assert states == truth(r, version), (full, version)
        if kind == "etcd":
            assert len(seat.history) == 14 and r.store.calls["Range"] == 3, "a read, then a watch alone"
        s.stop()

    play(scene)


def test_a_break_over_a_compaction_yields_one_true_step() -> None:
    """The hard case: the revision last seen is compacted away, while hosts drain and die."""

    async def scene(r: Registry, seat: Seat) -> None:
        for n in range(6):
            await r.put(f"{PREFIX}{n}", host(n))
        s = source(r, seat)
        await until(lambda: same(r, seat))
        told = len(seat.history)
        await r.stop()
        r.store.put(f"{PREFIX}1".encode(), json.dumps(host(1, state="draining")).encode())
        r.store.put(f"{PREFIX}2".encode(), None)
        r.store.put(f"{PREFIX}3".encode(), None)
        r.store.put(f"{PREFIX}3".encode(), json.dumps(host(3, weight=3.0)).encode())
        r.store.put(f"{PREFIX}9".encode(), json.dumps(host(9)).encode())
        r.store.compact(r.store.revision)
        await r.start()
        await until(lambda: same(r, seat))
        after = seat.history[told:]
        assert len(after) == 1 and not after[0][0], "one step, as changes"
        assert any("compacted away" in text for text in seat.failures)
        await r.put(f"{PREFIX}4", host(4, state="draining"))
        await until(lambda: same(r, seat))
        s.stop()

    play(scene)


def test_a_break_without_compaction_resumes_and_reads_nothing_again() -> None:
    async def scene(r: Registry, seat: Seat) -> None:
        for n in range(4):
            await r.put(f"{PREFIX}{n}", host(n))
        s = source(r, seat)
        await until(lambda: same(r, seat))
        reads = r.store.calls["Range"]
        await r.stop()
        for k in range(5):
            r.store.put(f"{PREFIX}1".encode(), json.dumps(host(1, weight=2.0 + k)).encode())
        r.store.faults.fragment = 2
        await r.start()
        await until(lambda: same(r, seat))
        assert r.store.calls["Range"] == reads
        assert [states[1] for _, _, states in seat.history][-5:] == [f"up{2.0 + k}" for k in range(5)]
        s.stop()

    play(scene)


def test_a_member_that_lags_undoes_nothing() -> None:
    async def scene(r: Registry, seat: Seat) -> None:
        await r.put(f"{PREFIX}1", host(1))
        s = source(r, seat)
        await until(lambda: same(r, seat))
        for k in range(4):
            await r.put(f"{PREFIX}1", host(1, weight=5.0 + k))
        await until(lambda: same(r, seat))
        told = len(seat.history)
        await r.stop()
        for n in (2, 3):
            r.store.put(f"{PREFIX}{n}".encode(), json.dumps(host(n)).encode())
        r.store.compact(r.store.revision)
        r.store.faults.lag = 4
        await r.start()
        await until(lambda: any("is known" in text for text in seat.failures))
        assert len(seat.history) == told
        r.store.faults.lag = 0
        await until(lambda: same(r, seat))
        s.stop()

    play(scene)


def test_a_restored_registry_is_started_over_with_and_said() -> None:
    async def scene(r: Registry, seat: Seat) -> None:
        for n in range(3):
            await r.put(f"{PREFIX}{n}", host(n))
        s = source(r, seat)
        await until(lambda: same(r, seat))
        old = r.store.revision - 1
        await r.stop()
        r.store.restore(old)
        await r.start()
        await until(lambda: same(r, seat))
        assert sorted(seat.history[-1][2]) == [0, 1]
        assert any("another cluster" in t for t in seat.failures)
        s.stop()

    play(scene)


def test_a_token_that_expires_in_the_middle_is_told_and_the_list_stands(tmp_path: Path) -> None:
    async def scene(r: Registry, seat: Seat) -> None:
        (tmp_path / "token").write_text("good\n")
        r.store.faults.token = "good"
        await r.put(f"{PREFIX}1", host(1))
        s = source(r, seat, token_file=str(tmp_path / "token"))
        await until(lambda: same(r, seat))
        r.store.faults.token = "newer"
        await r.stop()
        await r.start()
        await until(lambda: any("UNAUTHENTICATED" in t for t in seat.failures))
        assert seat.history[-1][2] == {1: "up1.0"}
        r.store.faults.token = "good"
        await r.put(f"{PREFIX}1", host(1, weight=2.0))
        await until(lambda: same(r, seat))
        s.stop()

    play(scene)


def test_a_new_token_is_taken_from_its_file_without_a_restart(tmp_path: Path) -> None:
    async def scene(r: Registry, seat: Seat) -> None:
        path = tmp_path / "token"
        path.write_text("first\n")
        r.store.faults.token = "first"
        await r.put(f"{PREFIX}1", host(1))
        s = source(r, seat, token_file=str(path))
        await until(lambda: same(r, seat))
        path.unlink()  # away while it is replaced: the one read before stands
        await r.stop()
        await r.start()
        await until(lambda: any("read before stand" in t for t in seat.failures))
        await r.put(f"{PREFIX}1", host(1, weight=2.0))
        await until(lambda: same(r, seat))
        r.store.faults.token = "second"
        await r.stop()
        await r.start()
        await until(lambda: any("UNAUTHENTICATED" in t for t in seat.failures))
        path.write_text("second\n")
        await r.put(f"{PREFIX}1", host(1, weight=3.0))
        await until(lambda: same(r, seat))
        s.stop()

    play(scene)


def test_a_member_without_a_leader_is_left_for_another() -> None:
    """Its watch would stay open and silent for as long as it is cut off: the first half shows that it does."""

    async def scene(r: Registry, seat: Seat) -> None:
        second = Registry(of=r)
        await second.start()
        await r.put(f"{PREFIX}1", host(1))
        heard = Seat()
        deaf = make_source(
            RegistryBlock(address=f"127.0.0.1:{r.port}"),
            heard,
            lambda: time.monotonic() * 1000.0,
            random.Random(1).random,
        )
        dial = deaf.watcher.connect

        def undemanding() -> Any:
            conn = dial()
            conn.watch_metadata = ()
            return conn

        deaf.watcher.connect = undemanding
        deaf.start()
        s = source(r, seat, others=[f"127.0.0.1:{second.port}"])
        await until(lambda: same(r, seat) and same(r, heard))
        r.faults.leaderless = True
        await second.put(f"{PREFIX}1", host(1, state="draining"))
        await until(lambda: same(r, seat))
        await asyncio.sleep(0.3)
        assert heard.history[-1][2] == {1: "up1.0"} and not heard.failures, "the fault is no fault"
        assert any("no leader" in t for t in seat.failures)
        s.stop()
        deaf.stop()
        await second.stop()

    play(scene)


def test_a_value_that_does_not_parse_holds_that_host_alone() -> None:
    async def scene(r: Registry, seat: Seat) -> None:
        for n in (1, 2):
            await r.put(f"{PREFIX}{n}", host(n))
        s = source(r, seat)
        await until(lambda: same(r, seat))
        await r.put(f"{PREFIX}1", b"{not json")
        await r.put(f"{PREFIX}2", host(2, weight=2.0))
        await until(lambda: seat.view.entries[2].weight == 2.0)
        assert seat.view.entries[1].state == "up"
        s.stop()

    play(scene)
    assert host_row(b"/h/", KeyValue(b"/h/x", b"{}", 1)) is None
    assert host_row(b"/h/", KeyValue(b"/h/5", None, 1)) == {
        "host": 5,
        "state": "removed",
    }
    assert host_row(b"/h/", KeyValue(b"/h/5", b'{"host": 6}', 1)) == {"host": 5, "state": "unreadable"}


def test_fifty_sources_that_come_back_ask_little() -> None:
    async def scene(r: Registry, seat: Seat) -> None:
        for n in range(3):
            await r.put(f"{PREFIX}{n}", host(n))
        seats = [Seat() for _ in range(50)]
        sources = [source(r, x) for x in seats]
        await until(lambda: all(same(r, x) for x in seats), 20)
        await r.stop()
        r.store.calls.clear()
        r.store.put(f"{PREFIX}1".encode(), json.dumps(host(1, state="draining")).encode())
        await r.start()
        await until(lambda: all(same(r, x) for x in seats), 20)
        assert r.store.calls.get("Range", 0) == 0 and r.store.calls["Watch"] <= 100, r.store.calls
        for s in sources:
            s.stop()

    play(scene)


# ---- TLS ---------------------------------------------------------------------------------------------------


def certificate(name: str, by: Any = None, ca: bool = False) -> tuple[Any, bytes, bytes]:
    """(issuer's handle, certificate, key) in PEM, made here and good for an hour."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    issuer, signer = by or (subject, key)
    now = datetime.datetime.now(datetime.UTC)
    names = x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1")), x509.DNSName(name)])
    made = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(minutes=5))
        .not_valid_after(now + datetime.timedelta(hours=1))
        .add_extension(names, False)
        .add_extension(x509.BasicConstraints(ca, None), True)
        .sign(signer, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    form, none = serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    return (subject, key), made.public_bytes(pem), key.private_bytes(pem, form, none)


def test_tls_with_client_certificates(tmp_path: Path) -> None:
    by, ca, _ = certificate("ca", ca=True)
    _, server, server_key = certificate("registry", by)
    _, client, client_key = certificate("steward", by)
    _, stranger, _ = certificate("another ca", ca=True)
    files = {}
    for name, data in (("ca", ca), ("cert", client), ("key", client_key), ("stranger", stranger)):
        (tmp_path / name).write_bytes(data)
        files[name] = str(tmp_path / name)
    credentials = grpc.ssl_server_credentials([(server_key, server)], ca, True)

    async def scene(r: Registry, seat: Seat) -> None:
        await r.put(f"{PREFIX}1", host(1))
        good = source(r, seat, ca_file=files["ca"], certificate_file=files["cert"], key_file=files["key"])
        await until(lambda: same(r, seat))
        other, none = Seat(), Seat()
        wrong = source(r, other, ca_file=files["stranger"])
        bare = source(r, none, ca_file=files["ca"])
        await until(lambda: other.failures and none.failures)
        assert not other.history
        assert not none.history
        for s in (good, wrong, bare):
            s.stop()

    play(scene, credentials)


# ---- the steward -------------------------------------------------------------------------------------------


def test_a_steward_follows_the_registry_to_the_module(tmp_path: Path) -> None:
    async def scene(r: Registry, seat: Seat) -> None:
        for n in range(3):
            await r.put(f"{PREFIX}{n}", host(n))
        block = f'registry {{\n  address = "127.0.0.1:{r.port}"\n  wait_ms = 20\n}}\n'
        config = CONFIG.replace('roster {\n  address = "127.0.0.1:1"\n}\n', block)
        async with Running(tmp_path, config=config) as run:
            lists = [e for e in run.module.told if isinstance(e, api.HostListUpdate)]
            await until(
                lambda: any(
                    isinstance(e, api.HostListUpdate) and e.kind is api.HostListKind.FULL for e in run.module.told
                )
            )
            await r.put(f"{PREFIX}1", host(1, state="draining"))
            await until(
                lambda: (
                    run.module.told[-1] != lists[-1:]
                    and any(
                        isinstance(e, api.HostListUpdate)
                        and any(x.host == 1 and x.state == "draining" for x in e.entries)
                        for e in run.module.told
                    )
                )
            )
            await r.put(f"{PREFIX}1", None)
            await until(lambda: 1 not in run.steward.view.entries)

    play(scene)


def test_a_registry_that_cannot_be_is_named(tmp_path: Path) -> None:
    path = tmp_path / "s.hcl"
    good = (CONFIG % "x.db").replace('roster {\n  address = "127.0.0.1:1"\n}\n', "")
    for block, said in (
        ("", "roster.address or a registry block must stand"),
        ('registry {\n  address = "1.2.3.4:2379"\n}\n', "registry.address: 1.2.3.4 is not a loopback address"),
        ('registry {\n  address = "127.0.0.1:1"\n  kind = "zk"\n}\n', "registry.kind: input should be 'etcd' or"),
        ('registry {\n  address = "127.0.0.1:1"\n  key_file = "k"\n}\n', "certificate_file and key_file stand"),
    ):
        path.write_text(good + block)
        with pytest.raises(ConfigError, match=said.replace("(", "[(]")):
            load_controller(path)
