"""The client server: a listener and its client connections, with one reader thread each.

The threads share nothing but the coordinator's queue. A request that is posted there is well formed, names a request
class of the settings, and has all its figures.
"""

import contextlib
import os
import socket
import threading
from collections import Counter
from collections.abc import Callable

from wickdyke.config.gateway_config import GatewayConfig
from wickdyke.config.gateway_sections import ServerLimits
from wickdyke.gateway.events import ClientClosed, Event
from wickdyke.gateway.interfaces import RejectionReason
from wickdyke.jsonrpc.client_connection import ClientConnection
from wickdyke.jsonrpc.requests import RequestChecker
from wickdyke.protocol import client_messages
from wickdyke.transport.acceptor import Acceptor
from wickdyke.transport.line_server import listener
from wickdyke.transport.stall_detector import StallDetector


class ClientServer:
    """The listener on one Unix socket or loopback address.

    `post` accepts events; `busy` returns why no request can be accepted, or None; `warn` logs a line of level warning.
    """

    def __init__(
        self,
        config: GatewayConfig,
        post: Callable[[Event], None],
        busy: Callable[[], RejectionReason | None],
        warn: Callable[..., object],
    ) -> None:
        self.bounds: ServerLimits = config.bounds
        self.post = post
        self.busy = busy
        self.warn = warn
        self.checker = RequestChecker(config)
        self.counts: Counter[str] = Counter()
        self.clients: set[ClientConnection] = set()
        self.lock = threading.Lock()
        self.last_number = 0
        self.address = config.listen
        self.sock, self.lock_file = listener(config.listen)
        self.stalls = StallDetector()
        self.acceptor = Acceptor(self.sock, self._accept, self._log_not_accepted, self.stalls)
        self.thread = threading.Thread(target=self.acceptor.run, name="client-server", daemon=True)

    def open(self) -> None:
        """Begins to accept connections."""
        self.stalls.open()
        self.thread.start()

    def rejection_reason(self, client: ClientConnection) -> RejectionReason | None:
        """Why a request of this connection can't be accepted now; None where it can."""
        if len(client.pending) > self.bounds.open_requests_per_client:
            return RejectionReason.CONNECTION_FULL
        return self.busy()

    def client_closed(self, client: ClientConnection) -> None:
        """The connection has ended: its open requests are dropped."""
        with self.lock:
            self.clients.discard(client)
        if pending_requests := client.release_all():
            self.post(ClientClosed(pending_requests))

    def _accept(self, sock: socket.socket) -> None:
        """Serves an accepted connection, or sends a rejection and closes it."""
        with self.lock:
            self.last_number += 1
            client = ClientConnection(self, sock, self.last_number, self.acceptor.connected_after)
            full = len(self.clients) >= self.bounds.connections
            if not full:
                self.clients.add(client)
        if full:
            self.counts["turned_away"] += 1
            self._reject(client)
            return
        try:
            threading.Thread(target=client.read, name=f"client-{client.number}", daemon=True).start()
        except RuntimeError as error:  # no thread to be had
            self._log_not_accepted(error)
            self.client_closed(client)
            self._reject(client)

    def _log_not_accepted(self, error: Exception) -> None:
        self.warn("connection not accepted", reason=str(error))

    def _reject(self, client: ClientConnection) -> None:
        client.write(client_messages.rejection_response(None, RejectionReason.TOO_MANY_CONNECTIONS) + b"\n")
        client.write_buffer.close()
        client.reader.close()
        client.sock.close()

    def shut(self) -> None:
        """Accepts no more connections; those that are open stay."""
        self.acceptor.close()
        if ":" not in self.address or "/" in self.address:
            with contextlib.suppress(OSError):
                os.unlink(self.address)
        if self.lock_file is not None:
            self.lock_file.close()

    def flushed(self) -> bool:
        """Whether all answers are with the kernel."""
        with self.lock:
            return all(client.write_buffer.empty() for client in self.clients)

    def disconnect_all(self) -> None:
        """Ends all connections."""
        self.stalls.close()
        with self.lock:
            clients = list(self.clients)
        for client in clients:
            client.write_buffer.close()
