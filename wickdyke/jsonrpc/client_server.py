"""The client server: a listener and its client connections, with one reader thread each.

The threads share nothing but the coordinator's queue. What is posted there is well formed, names a known request class,
and has all its figures.
"""

import os
import socket
import threading
from collections import Counter
from collections.abc import Callable

from wickdyke.config.gateway_config import GatewayConfig
from wickdyke.config.gateway_sections import ServerLimits
from wickdyke.gateway.events import ClientClosed, Event
from wickdyke.jsonrpc.client_connection import ClientConnection
from wickdyke.jsonrpc.requests import RequestChecker
from wickdyke.protocol import client_messages
from wickdyke.transport.acceptor import Acceptor
from wickdyke.transport.line_server import listener


class ClientServer:
    """The listener on one Unix socket or loopback address.

    `post` takes events; `busy` returns in one word why no more can be taken, or nothing; `warn` logs.
    """

    def __init__(
        self, config: GatewayConfig, post: Callable[[Event], None], busy: Callable[[], str], warn: Callable[..., None]
    ) -> None:
        self.bounds: ServerLimits = config.bounds
        self.post, self.busy, self.warn = post, busy, warn
        self.checker = RequestChecker(config)
        self.counts: Counter[str] = Counter()
        self.clients: set[ClientConnection] = set()
        self.lock = threading.Lock()
        self.last_number = 0
        self.address = config.listen
        self.sock, self.held = listener(config.listen)
        self.acceptor = Acceptor(self.sock, self._take, lambda error: self.warn("connection not taken", why=str(error)))
        self.thread = threading.Thread(target=self.acceptor.run, name="client-server", daemon=True)

    def open(self) -> None:
        """Begins to take connections."""
        self.thread.start()

    def rejection_reason(self, client: ClientConnection) -> str:
        """Why a request of this client can't be taken now, in one word, or nothing."""
        if len(client.pending) > self.bounds.open_requests_per_client:
            return "connection-full"
        return self.busy()

    def client_closed(self, client: ClientConnection) -> None:
        """A client closed its connection, so it waits for none of its open requests."""
        with self.lock:
            self.clients.discard(client)
        if pending_requests := client.release_all():
            self.post(ClientClosed(pending_requests))

    def _take(self, sock: socket.socket) -> None:
        """Serves an accepted connection, or tells its client that it can't be served."""
        with self.lock:
            self.last_number += 1
            client = ClientConnection(self, sock, self.last_number)
            full = len(self.clients) >= self.bounds.connections
            if not full:
                self.clients.add(client)
        if full:
            self.counts["turned_away"] += 1
            self._turn_away(client)
            return
        try:
            threading.Thread(target=client.read, name=f"client-{client.number}", daemon=True).start()
        except RuntimeError as error:  # no thread to be had
            self.warn("connection not taken", why=str(error))
            self.client_closed(client)
            self._turn_away(client)

    def _turn_away(self, client: ClientConnection) -> None:
        client.write(client_messages.rejection_response(None, "too-many-connections") + b"\n")
        client.write_buffer.close()
        client.sock.close()

    def shut(self) -> None:
        """Takes no more connections; those that are open stay."""
        self.acceptor.close()
        if ":" not in self.address or "/" in self.address:
            try:
                os.unlink(self.address)
            except OSError:
                pass
        if self.held is not None:
            self.held.close()

    def flushed(self) -> bool:
        """Whether all answers are with the kernel."""
        with self.lock:
            return all(client.write_buffer.empty() for client in self.clients)

    def disconnect_all(self) -> None:
        """Ends all connections."""
        with self.lock:
            clients = list(self.clients)
        for client in clients:
            client.write_buffer.close()
