"""Addresses for live runs: each run reserves a /24 network of 127.0.0.0/8 for itself.

Dispatchers bind their ports later, in processes of their own, and again at every start. A port that was
chosen for them, let go and bound again could meanwhile be anybody's. In the network of a run no other run
binds anything, and nothing of the run itself listens at a dispatcher's address but that dispatcher.
"""

import os
import socket
from contextlib import suppress

from ironbarrow.runtime.sockets import Address

DISPATCHER_PORT = 9000
FLEET_PORT = 9100
MOST_DISPATCHERS = 120

_FIRST_SECOND_BYTE, _SECOND_BYTES = 64, 100
_FIRST_THIRD_BYTE, _THIRD_BYTES = 1, 200
_NETWORKS = _SECOND_BYTES * _THIRD_BYTES
# the last byte of addresses in a network
_FIRST_DISPATCHER = 1
_FIRST_PARTY = _FIRST_DISPATCHER + MOST_DISPATCHERS
_AGENTS = 250
_RESERVATION = 254
_RESERVATION_PORT = 8999


class LoopbackError(OSError):
    """No loopback network for a live run: all are in use, or it needs more addresses than one has."""


class LoopbackNetwork:
    """A /24 network that belongs to this object until ``close``, or until its process ends.

    The reservation is a bound socket: the kernel gives the address to one holder at a time, over all
    processes that share these networks, and takes it back from a holder that is killed.
    """

    def __init__(self, prefix: str, reservation: socket.socket) -> None:
        self.prefix = prefix
        self._reservation = reservation

    @classmethod
    def reserve(cls, dispatchers: int) -> "LoopbackNetwork":
        """A network with room for so many dispatchers; a LoopbackError if there is none."""
        if dispatchers > MOST_DISPATCHERS:
            raise LoopbackError(
                f"{dispatchers} dispatchers in one live run, expected at most {MOST_DISPATCHERS}"
            )
        first = os.getpid()  # processes side by side mostly find theirs at once
        for offset in range(_NETWORKS):
            prefix = _prefix((first + offset) % _NETWORKS)
            reservation = _bound((f"{prefix}.{_RESERVATION}", _RESERVATION_PORT))
            if reservation is None:
                continue
            network = cls(prefix, reservation)
            if network._is_unused(dispatchers):
                return network
            network.close()
        raise LoopbackError("no free loopback network for a live run")

    def dispatcher(self, number: int) -> Address:
        """Where a dispatcher listens for clients and call-backs."""
        return f"{self.prefix}.{_FIRST_DISPATCHER + number}", DISPATCHER_PORT

    def fleet_member(self, number: int) -> Address:
        """Where a dispatcher listens for the other members of its fleet."""
        return f"{self.prefix}.{_FIRST_DISPATCHER + number}", FLEET_PORT

    def party(self, number: int) -> Address:
        """For the laboratory's own listeners round a dispatcher, at any free port.

        Danger: at the dispatcher's own address the kernel could give them the port that the dispatcher binds.
        """
        return f"{self.prefix}.{_FIRST_PARTY + number}", 0

    @property
    def agents(self) -> Address:
        """For the agents at the workers' machines, at any free port."""
        return f"{self.prefix}.{_AGENTS}", 0

    def close(self) -> None:
        """Lets go of the network."""
        self._reservation.close()

    def _is_unused(self, dispatchers: int) -> bool:
        """Whether every dispatcher's port is free: a process may outlive the run that had this network."""
        for number in range(dispatchers):
            for address in (self.dispatcher(number), self.fleet_member(number)):
                probe = _bound(address, reuse=True)
                if probe is None:
                    return False
                probe.close()
        return True


def _prefix(number: int) -> str:
    second, third = divmod(number, _THIRD_BYTES)
    return f"127.{_FIRST_SECOND_BYTE + second}.{_FIRST_THIRD_BYTE + third}"


def _bound(address: Address, *, reuse: bool = False) -> socket.socket | None:
    """A bound socket that does not listen, or None where the address is taken.

    ``reuse``: connections that have ended do not take it, as they do not for a dispatcher that starts.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    with suppress(OSError):
        if reuse:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        return sock
    sock.close()
    return None
