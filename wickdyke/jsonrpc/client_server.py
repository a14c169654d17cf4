"""The client server: a listener and its client connections, with one reader thread per connection.

The threads share only the coordinator's queue. A request that is posted there is well-formed, names a request class
of the settings, and has all parameters set.
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
from wickdyke.transport.line_server import listen
from wickdyke.transport.stall_detector import StallDetector


class ClientServer:
    """The listener on one Unix socket or loopback address.

    `post` accepts events; `busy_reason` returns why no request can be accepted, or None; `warn` logs a warning.
    """

    def __init__(
        self,
        config: GatewayConfig,
        post: Callable[[Event], None],
        busy_reason: Callable[[], RejectionReason | None],
        warn: Callable[..., object],
    ) -> None:
        self.bounds: ServerLimits = config.bounds
        self.post = post
        self.busy_reason = busy_reason
        self.warn = warn
        self.checker = RequestChecker(config)
        self.counts: Counter[str] = Counter()
        self.clients: set[ClientConnection] = set()
        self.lock = threading.Lock()
        self.last_number = 0
        self.address = config.listen
        self.sock, self.lock_file = listen(config.listen)
        self.stalls = StallDetector()
        self.acceptor = Acceptor(self.sock, self._accept, self._log_not_accepted, self.stalls)
        self.thread = threading.Thread(target=self.acceptor.run, name="client-server", daemon=True)

    def open(self) -> None:
        """Starts to accept connections."""
        self.stalls.open()
        self.thread.start()

    def rejection_reason(self, client: ClientConnection) -> RejectionReason | None:
        """Returns why a request of this connection can't be accepted now, or None if it can."""
        if len(client.pending) > self.bounds.open_requests_per_client:
            return RejectionReason.CONNECTION_FULL
        return self.busy_reason()

    def client_closed(self, client: ClientConnection) -> None:
        """Removes a connection that has ended, and posts its open requests to be dropped."""
        with self.lock:
            self.clients.discard(client)
        if pending_requests := client.release_all():
            self.post(ClientClosed(pending_requests))

    def _accept(self, sock: socket.socket) -> None:
        """Serves an accepted connection, or sends a rejection and closes it."""
        with self.lock:
            self.last_number += 1
            client = ClientConnection(self, sock, self.last_number, self.acceptor.connected_after)
            is_full = len(self.clients) >= self.bounds.connections
            if not is_full:
                self.clients.add(client)
        if is_full:
            self.counts["turned_away"] += 1
            self._reject(client)
            return
        try:
            threading.Thread(target=client.read, name=f"client-{client.number}", daemon=True).start()
        except RuntimeError as error:  # the thread could not be started
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

    def stop_accepting(self) -> None:
        """Stops accepting connections; open connections stay open."""
        self.acceptor.close()
        if ":" not in self.address or "/" in self.address:
            with contextlib.suppress(OSError):
                os.unlink(self.address)
        if self.lock_file is not None:
            self.lock_file.close()

    def is_flushed(self) -> bool:
        """Returns whether all answers have been handed to the kernel."""
        with self.lock:
            return all(client.write_buffer.empty() for client in self.clients)

    def disconnect_all(self) -> None:
        """Ends all connections."""
        self.stalls.close()
        with self.lock:
            clients = list(self.clients)
        for client in clients:
            client.write_buffer.close()
