"""Descriptors: how they are shared out, and that service comes back after all of them were taken."""

import resource

import pytest

from ironbarrow.daemon.dispatcher import _descriptors
from ironbarrow.lab.live.ports import LoopbackNetwork
from ironbarrow.runtime.sockets import listen
from tests.scenario import Harness, job

READY = "GET /-/ready HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n"
ENDLESS = resource.RLIM_INFINITY


@pytest.mark.parametrize(
    ("configured", "given", "counted"),
    [
        (1024, 1024, 1024),
        (1024, 20_000, 1024),
        (1024, ENDLESS, 1024),
        (1024, 256, 256),
        (64, 128, 64),
        (1024, 16, 72),
        (1024, OSError(38, "not here"), 1024),
    ],
)
def test_the_lower_of_the_two_limits_counts(
    configured: int, given: int | OSError, counted: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # danger: counted on beyond what the system gives, clients take all, and the discovery service gets none
    def getrlimit(which: int) -> tuple[int, int]:
        assert which == resource.RLIMIT_NOFILE
        if isinstance(given, OSError):
            raise given
        return given, ENDLESS

    monkeypatch.setattr(resource, "getrlimit", getrlimit)
    assert _descriptors(configured) == counted


@pytest.mark.parametrize("idle", [READY, job()[:40], ""])
def test_service_comes_back_after_idle_clients_took_all_while_the_discovery_service_was_down(
    idle: str,
) -> None:
    # danger: whoever waits for a descriptor that nobody gives back waits for ever
    network = LoopbackNetwork.reserve(1)  # nobody else is given the discovery port meanwhile
    stage = Harness(
        sockets=38, known=False, discovery_host=network.lab_listener(0)[0]
    )  # room for three clients
    discovery = stage.peers["d"]
    assert discovery.listener is not None
    address = discovery.listener.getsockname()
    discovery.listener.close()
    discovery.listener = None
    try:
        for n in range(1, 9):
            if idle:
                stage.step(f"c{n} send {idle}")
            stage.step("wait 1" if idle else f"c{n} silent 1")
        stage.step("wait 250")
        discovery.listener = listen(address)
        news = stage.list_chunk(stage.entry("p1"), full=True).split("\r\n")[1].strip()
        stage.run(
            f"""d expect GET /api/targets HTTP
            d send HTTP/1.1 200 X\\r\\nContent-Length: {len(news)}\\r\\n\\r\\n{news}
            c9 send {job("late")}
            p1 expect : late.*in$"""
        )
    finally:
        stage.close()
        network.close()
