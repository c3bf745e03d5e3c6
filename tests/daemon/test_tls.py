"""TLS and bearer tokens on loopback, with generated certificates."""

import asyncio
import contextlib
import fcntl
import json
import os
import pty
import signal
import socket
import ssl
import termios
import time
import uuid
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from kingcuplug_cli import _config
from kingcuplug_cli._connection import Connection, OperatorClient
from kingcuplug_cli._results import CommandRefused, Unreachable
from kingcuplug_common import HostSettings, SettingsInvalid, TlsSettings
from kingcuplug_daemon import Host, Listener, _main
from kingcuplug_daemon._main import serve
from kingcuplug_daemon._peer_client import PeerClient
from kingcuplug_daemon._tls import client_context, reload_identity
from kingcuplug_query import ConnectFailed, HttpBackendClient, SubRequest

from tests.conftest import DeploymentThread, running_deployment
from tests.daemon._certificates import CertificateAuthority, encrypt_key
from tests.daemon._daemon_process import DaemonProcess


@pytest.fixture(scope="module")
def folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return tmp_path_factory.mktemp("tls")


@pytest.fixture(scope="module")
def authority(folder: Path) -> CertificateAuthority:
    return CertificateAuthority(folder, "authority")


@pytest.fixture(scope="module")
def untrusted_authority(folder: Path) -> CertificateAuthority:
    return CertificateAuthority(folder, "untrusted")


@pytest.fixture(scope="module")
def tls_deployment(
    folder: Path, authority: CertificateAuthority
) -> Iterator[DeploymentThread]:
    """Return a deployment in which everything uses TLS and tokens."""
    with running_deployment(
        entry_hosts=2,
        control_hosts=1,
        operator_token="operator-secret",
        tls=authority.issue_identity(),
    ) as deployment:
        yield deployment


@pytest.fixture
def operator(
    tls_deployment: DeploymentThread, authority: CertificateAuthority, tmp_path: Path
) -> Any:
    """Return a function that creates a client with a token and an authority."""

    def make(token: str = "operator-secret", ca: Path | None = authority.file) -> Any:
        path = tmp_path / "token"
        path.write_text(token)
        return OperatorClient(
            Connection(host=tls_deployment.address(), token_file=path, ca_file=ca)
        )

    return make


def test_everything_runs_over_tls(tls_deployment: DeploymentThread, operator: Any):
    """Guards against TLS settings that work in no complete deployment."""
    status, answer = tls_deployment.call("stock", "query", {"body": {"band": "black"}})
    assert (status, answer["coverage"]) == (200, 1.0)
    order = {
        "body": 1,
        "idempotency_key": f"{time.time_ns() // 1_000_000}-{uuid.uuid4().hex}",
        "partition_key": "4711",
    }
    assert tls_deployment.call("stock", "order", order)[0] == 200
    assert tls_deployment.run(_config.show(operator())).number == 1


def test_plain_text_requests_are_rejected(
    tls_deployment: DeploymentThread, operator: Any
):
    """Guards against a listener that accepts plain text."""
    with pytest.raises(aiohttp.ClientError):
        tls_deployment.run(
            tls_deployment.local.call(
                "stock", "query", {"body": 1}, f"http://{tls_deployment.address()}"
            )
        )
    with pytest.raises(Unreachable):
        tls_deployment.run(_config.show(operator(ca=None)))


def test_operator_rejects_host_of_an_untrusted_authority(
    operator: Any,
    tls_deployment: DeploymentThread,
    untrusted_authority: CertificateAuthority,
):
    """Guards against sending the token to another process at the host's address."""
    with pytest.raises(Unreachable):
        tls_deployment.run(_config.show(operator(ca=untrusted_authority.file)))


async def _request_identity(address: str, tls: TlsSettings | None) -> dict[str, Any]:
    client = PeerClient(tls)
    try:
        return await client.post(address, "/peer/v1/identity", {}, 2.0)
    finally:
        await client.close()


def test_peers_need_a_certificate_of_the_authority(
    tls_deployment: DeploymentThread,
    authority: CertificateAuthority,
    untrusted_authority: CertificateAuthority,
):
    """Guards against peers that write to the log without authentication."""
    address = tls_deployment.local.hosts[0].peer_address
    identity = tls_deployment.run(
        _request_identity(address, authority.issue_identity())
    )
    assert identity["host"] == "host-01"
    untrusted = untrusted_authority.issue_identity(trusted=authority.file)
    with pytest.raises(OSError):
        tls_deployment.run(_request_identity(address, untrusted))
    with pytest.raises(OSError):
        tls_deployment.run(_request_identity(address, None))
    with pytest.raises(OSError):
        tls_deployment.run(_post_without_certificate(address, authority))


async def _post_without_certificate(
    address: str, authority: CertificateAuthority
) -> None:
    """Post with the trusted authority and without a client certificate."""
    context = ssl.create_default_context(cafile=str(authority.file))
    context.check_hostname = False
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"https://{address}/peer/v1/identity", json={}, ssl=context
        ) as response,
    ):
        await response.read()


def test_peer_rejects_host_of_an_untrusted_authority(
    tls_deployment: DeploymentThread,
    authority: CertificateAuthority,
    untrusted_authority: CertificateAuthority,
):
    """Guards against a session with a process that impersonates a control host."""
    impostor = untrusted_authority.issue_identity(trusted=authority.file)
    with pytest.raises(OSError):
        tls_deployment.run(
            _call_with_listener(
                impostor, lambda a: _request_identity(a, authority.issue_identity())
            )
        )


async def _empty_response_app(scope: Any, receive: Any, send: Any) -> None:
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"{}"})


async def _call_with_listener(tls: TlsSettings, call: Any) -> Any:
    listener = Listener(_empty_response_app, "127.0.0.1:0", tls)
    await listener.start()
    try:
        return await call(listener.address)
    finally:
        await listener.stop()


class _AttemptStub:
    server = "impostor"

    def __init__(self, address: str) -> None:
        self.address = address


def test_sub_requests_need_a_server_of_the_authority(
    tls_deployment: DeploymentThread,
    authority: CertificateAuthority,
    untrusted_authority: CertificateAuthority,
):
    """Guards against sending requests to another process at a server's address."""
    request = SubRequest("r", "a", "stock", "query", 1, 0, 1, 1_000, "normal", 1)

    async def send(address: str) -> None:
        backend = HttpBackendClient(client_context(authority.issue_identity()))
        try:
            await backend.send(_AttemptStub(address), request, 2.0)  # type: ignore[arg-type]
        finally:
            await backend.close()

    with pytest.raises(ConnectFailed):
        tls_deployment.run(
            _call_with_listener(
                untrusted_authority.issue_identity(trusted=authority.file), send
            )
        )


def _listener_certificate(address: str, tls: TlsSettings) -> str:
    host, _, port = address.rpartition(":")
    # The peer listener requires a client certificate; `tls` provides it.
    context = client_context(tls)
    assert context is not None
    with (
        socket.create_connection((host, int(port)), timeout=5) as raw,
        context.wrap_socket(raw) as connection,
    ):
        return ssl.DER_cert_to_PEM_cert(connection.getpeercert(True) or b"")


@pytest.fixture
def own_host(
    tls_deployment: DeploymentThread, authority: CertificateAuthority, tmp_path: Path
) -> Iterator[Host]:
    """Return an entry host with a separate identity and separate tokens."""
    tls = authority.issue_identity()
    for name in ("operator", "announce"):
        (tmp_path / f"{name}-token").write_text(f"{name}-1\n")
    settings = tls_deployment.local.hosts[1].settings.model_copy(
        update={
            "host": "host-09",
            "caller_tls": tls,
            "peer_tls": tls,
            "backend_tls": tls,
            "operator_token_file": tmp_path / "operator-token",
            "announce_token_file": tmp_path / "announce-token",
        }
    )

    async def start() -> Host:
        host = Host(settings)
        await host.start()
        return host

    host = tls_deployment.run(start())
    yield host
    tls_deployment.run(host.stop(grace_ms=0))


async def _reload(host: Host) -> None:
    host.reload()


async def _peer_client_certificate(host: Host, tls: TlsSettings) -> str:
    """Return the certificate that a host presents when it calls its peers."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.private_key)
    context.verify_mode = ssl.CERT_REQUIRED
    presented: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

    def on_connect(reader: Any, writer: asyncio.StreamWriter) -> None:
        presented.set_result(writer.get_extra_info("ssl_object").getpeercert(True))
        writer.close()

    server = await asyncio.start_server(on_connect, "127.0.0.1", 0, ssl=context)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    with pytest.raises(OSError):
        await host._peers.post(address, "/", {}, 2.0)
    server.close()
    return ssl.DER_cert_to_PEM_cert(await presented)


def test_certificates_are_reloaded_without_a_restart(
    tls_deployment: DeploymentThread, authority: CertificateAuthority, own_host: Host
):
    """Guards against an outage when the certificates of running hosts expire."""
    tls = own_host.settings.peer_tls
    assert tls is not None
    peer_identity = authority.issue_identity()
    listeners = (own_host.caller_address, own_host.peer_address)
    before = tls.certificate.read_text()
    authority.renew_identity(tls)
    after = tls.certificate.read_text()
    assert [_listener_certificate(a, peer_identity) for a in listeners] == [
        before,
        before,
    ]
    tls_deployment.run(_reload(own_host))
    assert [_listener_certificate(a, peer_identity) for a in listeners] == [
        after,
        after,
    ]
    assert (
        tls_deployment.run(_peer_client_certificate(own_host, peer_identity)) == after
    )


def test_a_new_authority_is_accepted_beside_the_old_one(
    tls_deployment: DeploymentThread,
    authority: CertificateAuthority,
    own_host: Host,
    folder: Path,
):
    """Guards against an authority that cannot be replaced without an outage."""
    tls = own_host.settings.peer_tls
    assert tls is not None
    successor = CertificateAuthority(folder, "successor")
    successor_identity = successor.issue_identity(trusted=authority.file)
    address = own_host.peer_address
    with pytest.raises(OSError):
        tls_deployment.run(_request_identity(address, successor_identity))
    old = authority.file.read_bytes()
    try:
        authority.file.write_bytes(old + successor.file.read_bytes())
        tls_deployment.run(_reload(own_host))
        # A host without the control role has no peer endpoints: the 404 response shows
        # that the handshake succeeded.
        with pytest.raises(ConnectionError, match="no JSON"):
            tls_deployment.run(_request_identity(address, successor_identity))
        with pytest.raises(ConnectionError, match="no JSON"):
            tls_deployment.run(_request_identity(address, authority.issue_identity()))
    finally:
        authority.file.write_bytes(old)


def test_a_reload_of_unusable_files_changes_nothing(
    tls_deployment: DeploymentThread, authority: CertificateAuthority, own_host: Host
):
    """Guards against an outage caused by a mistake during a renewal."""
    tls = own_host.settings.peer_tls
    assert tls is not None
    before = tls.certificate.read_text()
    authority.renew_identity(tls)
    tls.private_key.write_text("no key")
    own_host.settings.operator_token_file.write_text("\n")
    tls_deployment.run(_reload(own_host))
    assert own_host.metrics.counts["reload.failed"] >= 4
    assert (
        _listener_certificate(own_host.caller_address, authority.issue_identity())
        == before
    )
    status, _ = tls_deployment.run(_post(own_host, "operator/status", "operator-1"))
    assert status == 200


def test_a_key_that_changes_during_a_reload_keeps_the_connections(
    authority: CertificateAuthority, monkeypatch: pytest.MonkeyPatch
):
    """Guards against an outage by a renewal that is not finished at the reload."""
    tls = authority.issue_identity()
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(tls.certificate, tls.private_key)
    authority.renew_identity(tls)
    load_cert_chain = ssl.SSLContext.load_cert_chain

    def replace_key_after_loading(self: ssl.SSLContext, *files: Any) -> None:
        load_cert_chain(self, *files)
        tls.private_key.write_text("no key")

    monkeypatch.setattr(ssl.SSLContext, "load_cert_chain", replace_key_after_loading)
    with contextlib.suppress(SettingsInvalid):
        reload_identity(context, tls)
    client_side, server_side = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = _trusting_context(authority).wrap_bio(server_side, client_side)
    server = context.wrap_bio(client_side, server_side, server_side=True)
    for _ in range(3):
        for side in (client, server):
            with contextlib.suppress(ssl.SSLWantReadError):
                side.do_handshake()
    assert client.getpeercert(True)


def _trusting_context(authority: CertificateAuthority) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=str(authority.file))
    context.check_hostname = False
    return context


async def _post(host: Host, path: str, token: str | None) -> tuple[int, dict[str, Any]]:
    headers = {} if token is None else {"Authorization": f"Bearer {token}"}
    tls = host.settings.caller_tls
    assert tls is not None
    context = ssl.create_default_context(cafile=str(tls.authority))
    context.check_hostname = False
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"https://{host.caller_address}/v1/{path}",
            json={},
            headers=headers,
            ssl=context,
        ) as response,
    ):
        return response.status, await response.json()


@pytest.mark.parametrize(
    ("path", "valid_token"),
    [("operator/status", "operator-1"), ("servers/announce", "announce-1")],
)
def test_wrong_tokens_get_typed_refusals(
    tls_deployment: DeploymentThread, own_host: Host, path: str, valid_token: str
):
    """Guards against an interface that accepts another interface's token."""
    for token in (None, "", "operator-2", "operator-1x", "announce-1x", "é"):
        status, answer = tls_deployment.run(_post(own_host, path, token))
        assert (status, answer["error"]) == (401, "Refusal")
        assert answer["reason"] == "unauthenticated"
        assert answer["remedy"]
    other_interface_token = {"operator-1": "announce-1", "announce-1": "operator-1"}[
        valid_token
    ]
    assert tls_deployment.run(_post(own_host, path, other_interface_token))[0] == 401
    assert tls_deployment.run(_post(own_host, path, valid_token))[0] != 401


def test_tokens_are_reloaded_and_may_overlap(
    tls_deployment: DeploymentThread, own_host: Host
):
    """Guards against a token change that locks out operators until they switch."""
    path = own_host.settings.operator_token_file

    def statuses() -> list[int]:
        return [
            tls_deployment.run(_post(own_host, "operator/status", token))[0]
            for token in ("operator-1", "operator-2")
        ]

    assert statuses() == [200, 401]
    path.write_text("operator-1\noperator-2\n")
    tls_deployment.run(_reload(own_host))
    assert statuses() == [200, 200]
    path.write_text("operator-2\n")
    tls_deployment.run(_reload(own_host))
    assert statuses() == [401, 200]


def test_wrong_token_raises_command_refused(
    tls_deployment: DeploymentThread, operator: Any
):
    """Guards against reporting a wrong token as an unreachable host."""
    with pytest.raises(CommandRefused) as refusal:
        tls_deployment.run(_config.show(operator(token="guess")))
    assert refusal.value.exit_code == 1


def _settings(folder: Path, **fields: Any) -> HostSettings:
    return HostSettings.model_validate(
        {
            "host": "host-01",
            "availability_zone": "zone-1",
            "roles": ["entry"],
            "caller_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "control_seeds": ["127.0.0.1:1"],
        }
        | fields
    )


def test_unusable_files_are_reported_at_the_start(tmp_path: Path):
    """Guards against a host that starts and then refuses every connection."""
    missing_files = {
        name: tmp_path / name for name in ("certificate", "private_key", "authority")
    }

    async def make_host(**fields: Any) -> None:
        Host(_settings(tmp_path, **fields))

    for fields in (
        {"caller_tls": missing_files},
        {"peer_tls": missing_files},
        {"backend_tls": missing_files},
        {"operator_token_file": tmp_path / "absent"},
        {"announce_token_file": tmp_path / "absent"},
    ):
        with pytest.raises(SettingsInvalid, match=str(tmp_path)):
            asyncio.run(make_host(**fields))


def test_sighup_reloads_and_sigterm_stops(tmp_path: Path):
    """Guards against signals without a handler."""
    token = tmp_path / "token"
    token.write_text("first")
    settings = _settings(tmp_path, operator_token_file=token, shutdown_grace_ms=0)
    statuses: list[int] = []

    async def send_signals() -> None:
        hosts: list[Host] = []

        def make_host() -> Host:
            hosts.append(Host(settings))
            return hosts[0]

        running_host = asyncio.create_task(serve(make_host))
        async with asyncio.timeout(10), aiohttp.ClientSession() as session:
            # Accepting connections is the last step of the startup.
            while not hosts or not hosts[0]._caller_listener._server.started:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            token.write_text("second")
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.sleep(0)
            url = f"http://{hosts[0].caller_address}/v1/operator/status"
            headers = {"Authorization": "Bearer second"}
            async with session.post(url, json={}, headers=headers) as response:
                statuses.append(response.status)
            os.kill(os.getpid(), signal.SIGTERM)
            await running_host

    asyncio.run(send_signals())
    assert statuses == [200]


def test_kingcuplugd_exits_with_2_on_invalid_settings(tmp_path: Path):
    """Guards against a supervisor that restarts a host forever."""
    path = tmp_path / "settings.json"
    fields = json.loads(
        _settings(tmp_path, operator_token_file=tmp_path / "absent").model_dump_json(
            exclude_defaults=True
        )
    )
    path.write_text(json.dumps(fields))
    with pytest.raises(SystemExit) as exit_info:
        _main._run_host(str(path))
    assert exit_info.value.code == 2


def test_encrypted_key_is_refused_without_a_question(
    authority: CertificateAuthority, tmp_path: Path
):
    """Guards against a reload that waits for a password on the terminal."""
    tls = authority.issue_identity()
    plain_key = tls.private_key.read_bytes()
    daemon = DaemonProcess(tmp_path / "host", peer_tls=tls.model_dump(mode="json"))
    terminal, process_side = pty.openpty()
    try:
        daemon.start(
            stdin=process_side,
            start_new_session=True,
            preexec_fn=lambda: fcntl.ioctl(0, termios.TIOCSCTTY, 0),
        )
        daemon.wait_until_live()
        tls.private_key.write_bytes(encrypt_key(plain_key))
        daemon.process.send_signal(signal.SIGHUP)
        assert daemon.get("healthz") == 200
        assert daemon.terminate() == 0
    finally:
        daemon.kill()
        os.close(terminal)
        os.close(process_side)


def test_failed_reload_is_reported_once_on_standard_error(
    authority: CertificateAuthority, tmp_path: Path
):
    """Guards against a host without a log whose certificates are never renewed."""
    tls = authority.issue_identity()
    fields = tls.model_dump(mode="json")
    daemon = DaemonProcess(tmp_path / "host", peer_tls=fields, backend_tls=fields)
    try:
        daemon.start()
        daemon.wait_until_live()
        tls.private_key.write_text("no key")
        daemon.process.send_signal(signal.SIGHUP)
        daemon.wait_for_error(f"not reloaded: TLS files {tls.certificate}")
        assert daemon.get("healthz") == 200
        assert daemon.errors.count("not reloaded") == 1
        assert daemon.terminate() == 0
    finally:
        daemon.kill()
