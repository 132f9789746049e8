"""Tests of how descriptors are divided, and that the service recovers after all of them were in use."""

import resource

import pytest

from ironbarrow.daemon.descriptors import available_descriptors
from ironbarrow.lab.live.ports import LoopbackNetwork
from ironbarrow.runtime.sockets import listen
from tests.scenario import Harness, job

READY = "GET /-/ready HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n"
UNLIMITED = resource.RLIM_INFINITY


@pytest.mark.parametrize(
    ("configured", "system_limit", "usable"),
    [
        (1024, 1024, 1024),
        (1024, 20_000, 1024),
        (1024, UNLIMITED, 1024),
        (1024, 256, 256),
        (64, 128, 64),
        (1024, 16, 72),
        (1024, OSError(38, "not here"), 1024),
    ],
)
def test_the_lower_of_the_configured_and_the_system_limit_counts(
    configured: int, system_limit: int | OSError, usable: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # If more were counted on than the system allows, clients would use up all descriptors, and none would be
    # left for the discovery service.
    def getrlimit(which: int) -> tuple[int, int]:
        assert which == resource.RLIMIT_NOFILE
        if isinstance(system_limit, OSError):
            raise system_limit
        return system_limit, UNLIMITED

    monkeypatch.setattr(resource, "getrlimit", getrlimit)
    assert available_descriptors(configured) == usable


@pytest.mark.parametrize("idle", [READY, job()[:40], ""])
def test_service_recovers_after_idle_clients_took_all_descriptors_while_the_discovery_service_was_down(
    idle: str,
) -> None:
    # A task that waits for a descriptor which is never freed would wait for ever.
    network = LoopbackNetwork.reserve(1)  # reserves the discovery port while its listener is closed
    # 38 sockets have room for three clients.
    harness = Harness(sockets=38, known=False, discovery_host=network.lab_listener(0)[0])
    discovery = harness.peers["d"]
    assert discovery.listener is not None
    address = discovery.listener.getsockname()
    discovery.listener.close()
    discovery.listener = None
    try:
        for n in range(1, 9):
            if idle:
                harness.step(f"c{n} send {idle}")
            harness.step("wait 1" if idle else f"c{n} silent 1")
        harness.step("wait 250")
        discovery.listener = listen(address)
        news = harness.list_chunk(harness.entry("p1"), full=True).split("\r\n")[1].strip()
        harness.run(
            f"""d expect GET /api/targets HTTP
            d send HTTP/1.1 200 X\\r\\nContent-Length: {len(news)}\\r\\n\\r\\n{news}
            c9 send {job("late")}
            p1 expect : late.*in$"""
        )
    finally:
        harness.close()
        network.close()
