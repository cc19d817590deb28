"""Tokens that expire or are replaced, and TLS with client certificates."""

from __future__ import annotations

import datetime
import ipaddress
from pathlib import Path
from typing import Any

import grpc
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from sockets import until

from corallanding.lab.registry import Registry
from tests.registry.support import PREFIX, SourceOwner, host_value, is_current, run_scenario, start_source


def test_source_when_its_token_expires_then_it_reports_it_and_keeps_the_list(tmp_path: Path) -> None:
    async def scenario(registry: Registry, owner: SourceOwner) -> None:
        (tmp_path / "token").write_text("good\n")
        registry.store.faults.token = "good"
        await registry.put(f"{PREFIX}1", host_value(1))
        source = start_source(registry, owner, token_file=str(tmp_path / "token"))
        await until(lambda: is_current(registry, owner))
        registry.store.faults.token = "newer"
        await registry.stop()
        await registry.start()
        await until(lambda: any("UNAUTHENTICATED" in text for text in owner.failures))
        assert owner.history[-1][2] == {1: "up1.0"}
        registry.store.faults.token = "good"
        await registry.put(f"{PREFIX}1", host_value(1, weight=2.0))
        await until(lambda: is_current(registry, owner))
        source.stop()

    run_scenario(scenario)


def test_source_when_the_token_file_is_replaced_then_the_next_connection_uses_it(tmp_path: Path) -> None:
    async def scenario(registry: Registry, owner: SourceOwner) -> None:
        path = tmp_path / "token"
        path.write_text("first\n")
        registry.store.faults.token = "first"
        await registry.put(f"{PREFIX}1", host_value(1))
        source = start_source(registry, owner, token_file=str(path))
        await until(lambda: is_current(registry, owner))
        path.unlink()  # missing while it is replaced: the token read before stays in use
        await registry.stop()
        await registry.start()
        await until(lambda: any("read before stay in use" in text for text in owner.failures))
        await registry.put(f"{PREFIX}1", host_value(1, weight=2.0))
        await until(lambda: is_current(registry, owner))
        registry.store.faults.token = "second"
        await registry.stop()
        await registry.start()
        await until(lambda: any("UNAUTHENTICATED" in text for text in owner.failures))
        path.write_text("second\n")
        await registry.put(f"{PREFIX}1", host_value(1, weight=3.0))
        await until(lambda: is_current(registry, owner))
        source.stop()

    run_scenario(scenario)


def certificate(name: str, issued_by: Any = None, ca: bool = False) -> tuple[Any, bytes, bytes]:
    """Return (issuer for further certificates, certificate, key), valid for an hour; the last two in PEM."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    issuer, signer = issued_by or (subject, key)
    now = datetime.datetime.now(datetime.UTC)
    names = x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1")), x509.DNSName(name)])
    signed = (
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
    private_key = key.private_bytes(pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())
    return (subject, key), signed.public_bytes(pem), private_key


def test_source_when_the_registry_requires_certificates_then_only_a_signed_client_is_served(tmp_path: Path) -> None:
    authority, ca, _ = certificate("ca", ca=True)
    _, server, server_key = certificate("registry", authority)
    _, client, client_key = certificate("controller", authority)
    _, other_ca, _ = certificate("another ca", ca=True)
    files = {}
    for name, data in (("ca", ca), ("cert", client), ("key", client_key), ("other_ca", other_ca)):
        (tmp_path / name).write_bytes(data)
        files[name] = str(tmp_path / name)
    credentials = grpc.ssl_server_credentials([(server_key, server)], ca, True)

    async def scenario(registry: Registry, owner: SourceOwner) -> None:
        await registry.put(f"{PREFIX}1", host_value(1))
        valid_source = start_source(
            registry, owner, ca_file=files["ca"], certificate_file=files["cert"], key_file=files["key"]
        )
        await until(lambda: is_current(registry, owner))
        wrong_ca_owner = SourceOwner()
        no_certificate_owner = SourceOwner()
        wrong_ca_source = start_source(registry, wrong_ca_owner, ca_file=files["other_ca"])
        no_certificate_source = start_source(registry, no_certificate_owner, ca_file=files["ca"])
        await until(lambda: wrong_ca_owner.failures and no_certificate_owner.failures)
        assert not wrong_ca_owner.history
        assert not no_certificate_owner.history
        for source in (valid_source, wrong_ca_source, no_certificate_source):
            source.stop()

    run_scenario(scenario, credentials)
