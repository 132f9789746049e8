"""Addresses for live runs: each run reserves a /24 network of 127.0.0.0/8 for itself.

Dispatchers bind their ports later, in processes of their own, and again at every start. If a port were chosen
by binding and closing a socket, another process could bind it before the dispatcher does. In the network of a
run no other run binds a port, and only the dispatcher itself listens at a dispatcher's address.
"""

import os
import socket
from contextlib import suppress

from ironbarrow.runtime.sockets import Address

DISPATCHER_PORT = 9000
FLEET_PORT = 9100
FIRST_ADMIN_PORT = 9200
MAX_DISPATCHERS = 120

_FIRST_SECOND_BYTE, _SECOND_BYTES = 64, 100
_FIRST_THIRD_BYTE, _THIRD_BYTES = 1, 200
_NETWORKS = _SECOND_BYTES * _THIRD_BYTES
# The last byte of the addresses in a network
_FIRST_DISPATCHER = 1
_FIRST_LAB_LISTENER = _FIRST_DISPATCHER + MAX_DISPATCHERS
_WORKER_AGENTS = 250
_RESERVATION = 254
_RESERVATION_PORT = 8999


class LoopbackError(OSError):
    """No loopback network for a live run: all are in use, or the run has too many dispatchers for one."""


class LoopbackNetwork:
    """A /24 network that is reserved until ``close``, or until the process ends.

    The reservation is a bound socket: the kernel lets only one process bind its address at a time, and frees
    the address if that process is killed.
    """

    def __init__(self, prefix: str, reservation: socket.socket) -> None:
        self.prefix = prefix
        self._reservation = reservation

    @classmethod
    def reserve(cls, dispatchers: int) -> "LoopbackNetwork":
        """Reserves a network for that many dispatchers; raises LoopbackError if there is none."""
        if dispatchers > MAX_DISPATCHERS:
            raise LoopbackError(
                f"{dispatchers} dispatchers in one live run, expected at most {MAX_DISPATCHERS}"
            )
        start = os.getpid()  # concurrent processes mostly find a free one at the first attempt
        for offset in range(_NETWORKS):
            prefix = _prefix((start + offset) % _NETWORKS)
            reservation = _try_bind((f"{prefix}.{_RESERVATION}", _RESERVATION_PORT))
            if reservation is None:
                continue
            network = cls(prefix, reservation)
            if network._is_unused(dispatchers):
                return network
            network.close()
        raise LoopbackError("no free loopback network for a live run")

    def dispatcher(self, number: int) -> Address:
        """The address at which a dispatcher listens for clients and call-backs."""
        return f"{self.prefix}.{_FIRST_DISPATCHER + number}", DISPATCHER_PORT

    def fleet_member(self, number: int) -> Address:
        """The address at which a dispatcher listens for the other members of its fleet."""
        return f"{self.prefix}.{_FIRST_DISPATCHER + number}", FLEET_PORT

    def admin(self, number: int, process: int) -> Address:
        """The admin address of a dispatcher's process; each of its processes has an address of its own."""
        return f"{self.prefix}.{_FIRST_DISPATCHER + number}", FIRST_ADMIN_PORT + process

    def lab_listener(self, number: int) -> Address:
        """The address for the laboratory's own listeners that serve one dispatcher, at any free port.

        At the dispatcher's own address the kernel could give a listener the port that the dispatcher
        binds later.
        """
        return f"{self.prefix}.{_FIRST_LAB_LISTENER + number}", 0

    @property
    def worker_agents(self) -> Address:
        """The address for the agents on the workers' machines, at any free port."""
        return f"{self.prefix}.{_WORKER_AGENTS}", 0

    def close(self) -> None:
        """Releases the network."""
        self._reservation.close()

    def _is_unused(self, dispatchers: int) -> bool:
        """Whether every dispatcher's port is free: one may outlive the run that had this network."""
        for number in range(dispatchers):
            for address in (self.dispatcher(number), self.fleet_member(number)):
                sock = _try_bind(address, reuse=True)
                if sock is None:
                    return False
                sock.close()
        return True


def _prefix(number: int) -> str:
    second, third = divmod(number, _THIRD_BYTES)
    return f"127.{_FIRST_SECOND_BYTE + second}.{_FIRST_THIRD_BYTE + third}"


def _try_bind(address: Address, *, reuse: bool = False) -> socket.socket | None:
    """Returns a bound socket that does not listen, or None if the address is in use.

    ``reuse``: connections in TIME_WAIT do not count as use, as for a dispatcher that starts (SO_REUSEADDR).
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    with suppress(OSError):
        if reuse:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        return sock
    sock.close()
    return None
