"""A new process that listens at the address of a worker that has gone, before discovery reports either."""

import math
import select
import socket
import unittest

from tests import platform_rig as rig
from tests.acceptance_rig import SteppedClockCase, request
from tests.front_end_rig import peer_name, reset, wait_for
from tests.helpers import FrontEnd, decision_names, listed_endpoint
from wickdyke.platform.worker_connection import WorkerConnection
from wickdyke.routing.process_identity import MAX_REPORT_DELAY


class AnotherProcessAtTheAddress(SteppedClockCase):
    """The connections of a worker are reset and new ones are established, as with a new process at its address.

    Requests of the class `rent` have a key that the workers of one zone share, those of `book` one that all share.
    """

    def clients_of(self, worker):
        """Returns the worker clients of a worker's address."""
        clients = self.service.coordinator.workers.clients.values()
        return [each for each in clients if worker.address.endswith(f":{each.target[1]}")]

    def all_sockets(self, worker):
        """Returns a worker's ends of all connections to it, once it has accepted all of them."""
        (client,) = self.clients_of(worker)
        self.until(lambda: all(connection.established for connection in client.all_connections()))
        names = {connection.sock.getsockname() for connection in client.all_connections()}
        wait_for(self, lambda: names <= {peer_name(sock) for sock in list(worker.socks)})
        return [sock for sock in worker.socks if peer_name(sock) in names]

    def replace_process(self, worker):
        """Resets all connections to a worker."""
        sockets = self.all_sockets(worker)
        connections = [each for client in self.clients_of(worker) for each in client.all_connections()]
        for sock in sockets:
            reset(sock)  # by the worker's thread
        wait_for(self, lambda: not any(connection.stands() for connection in connections))

    def send_slow(self, name, number=1):
        """Sends a request whose attempt stays at the worker; returns the client and the attempt's command."""
        client = self.client()
        client.send(request(1, name, b"slow", f"{number:016x}", d="4000"))
        self.wait_for_commands(1)
        return client, self.held_commands.pop()

    def test_a_repeat_is_not_sent_to_a_process_that_may_be_new(self):
        """Guards against a keyed request that runs twice, at the new process of another zone as well (picture (d))."""
        worker = self.worker()
        self.front_end(worker.address)
        self.discovery_heard()
        client, _ = self.send_slow("rent")
        self.replace_process(worker)
        self.assertEqual(self.answer(client)[1], "fault")
        self.assertEqual(len(worker.received(b"invoke")), 1)

    def test_a_repeat_whose_key_all_workers_share_is_sent(self):
        worker = self.worker()
        self.front_end(worker.address)
        self.discovery_heard()
        client, _ = self.send_slow("book")
        self.replace_process(worker)
        self.wait_for_commands(1)
        self.answer_held_command()
        self.assertEqual(self.answer(client)[1], "answer")
        self.assertEqual(len(worker.received(b"invoke")), 2)

    def test_another_worker_of_the_zone_takes_the_repeat(self):
        workers = [self.worker(), self.worker()]
        self.front_end(*(worker.address for worker in workers))
        self.discovery_heard()
        client, _ = self.send_slow("rent")
        first, second = sorted(workers, key=lambda worker: -len(worker.received(b"invoke")))
        self.replace_process(first)
        self.wait_for_commands(1)
        self.answer_held_command()
        self.assertEqual(self.answer(client)[1], "answer")
        self.assertEqual([len(worker.received(b"invoke")) for worker in (first, second)], [1, 1])

    def test_a_connection_that_stands_shows_that_the_process_is_the_same(self):
        worker = self.worker()
        self.front_end(worker.address)
        self.discovery_heard()
        other, _ = self.send_slow("pay", 2)
        client, (sock, _) = self.send_slow("rent")
        reset(sock)
        self.wait_for_commands(1)
        self.answer_held_command()
        self.assertEqual(self.answer(client)[1], "answer")
        self.assertEqual(len(worker.received(b"invoke")), 3)
        self.assertFalse(other.waits())

    def test_a_process_that_ends_right_after_an_error(self):
        """The repeat is decided while the end is still unread, and its first byte would go to the new process."""
        worker = self.worker()
        self.front_end(worker.address)
        self.discovery_heard()
        client, (sock, parts) = self.send_slow("rent")
        sockets = self.all_sockets(worker)
        sock.sendall(rig.bulk(parts[1], b"EIO", b"-", b""))
        for each in sockets:
            each.shutdown(socket.SHUT_WR)
        self.assertEqual(self.answer(client)[1], "fault")
        self.assertEqual(len(worker.received(b"invoke")), 1)

    def test_a_connection_whose_end_is_unread_does_not_vouch(self):
        """A new connection is established while the ends of all earlier ones still wait to be read."""
        worker = self.worker()
        self.front_end(worker.address)
        self.discovery_heard()
        self.send_slow("rent")
        (client,) = self.clients_of(worker)
        for sock in self.all_sockets(worker):
            reset(sock)
        earlier = client.all_connections()
        wait_for(self, lambda: not any(connection.stands() for connection in earlier))
        connection = WorkerConnection(client)
        client.connections.append(connection)
        self.assertTrue(select.select([], [connection.sock], [], rig.TIMEOUT)[1])
        connection.writable()
        self.assertTrue(all(each.established for each in earlier))
        self.assertEqual(client.process_changed_at, self.now)

    def test_what_a_process_that_may_be_new_was_sent_first_is_not_repeated(self):
        """The new process may be of another zone than the list says, and so would the repeat be."""
        worker = self.worker()
        self.front_end(worker.address)
        self.discovery_heard()
        client, _ = self.send_slow("rent")
        self.replace_process(worker)
        self.assertEqual(self.answer(client)[1], "fault")
        for waited, attempts in ((0.0, 1), (MAX_REPORT_DELAY + 50.0, 2)):
            with self.subTest(waited=waited):
                self.now += waited
                self.discovery_heard()
                self.service.run_once()
                before = len(worker.received(b"invoke"))
                client, (sock, parts) = self.send_slow("rent", int(waited) + 2)
                sock.sendall(rig.bulk(parts[1], b"EIO", b"-", b""))
                if attempts > 1:
                    self.wait_for_commands(1)
                    self.answer_held_command()
                self.assertEqual(self.answer(client)[1], "answer" if attempts > 1 else "fault")
                self.assertEqual(len(worker.received(b"invoke")) - before, attempts)


class ProcessIdentity(unittest.TestCase):
    """The router's decisions where another process may listen at a worker's address."""

    def after_an_error(self, scope, changed_at, heard_at, effect="tokened"):
        """Returns the decision after the first attempt failed at the only worker, whose process may have changed."""
        front_end = FrontEnd(effect=effect, scope=scope, endpoints=[listed_endpoint("a")])
        front_end.router.discovery_heard(front_end.clock)
        request = front_end.submit()[0].request
        front_end.clock += 1000.0
        front_end.router.advance(front_end.clock)
        if changed_at is not None:
            front_end.router.process_changed("a", front_end.clock + changed_at)
        front_end.router.discovery_heard(front_end.clock + heard_at)
        decisions = front_end.finish_attempt(request, "error")
        return next(name for name in decision_names(decisions) if name in ("forward", "fail", "reject"))

    def test_decision_by_what_is_known_of_the_process(self):
        """(scope, ms from the change until now, ms from the last list until now) -> the decision."""
        for scope, changed_at, heard_at, decision in (
            ("zone", None, 0.0, "forward"),
            ("zone", 0.0, 0.0, "fail"),
            ("cell", math.inf, 0.0, "fail"),
            ("cell", -MAX_REPORT_DELAY, 0.0, "forward"),
            ("cell", -MAX_REPORT_DELAY, -1.0, "fail"),
            ("all", 0.0, 0.0, "forward"),
        ):
            with self.subTest(scope=scope, changed_at=changed_at, heard_at=heard_at):
                self.assertEqual(self.after_an_error(scope, changed_at, heard_at), decision)
        self.assertEqual(self.after_an_error("cell", 0.0, 0.0, "idempotent"), "forward")

    def test_a_restart_that_is_reported_does_not_vouch_for_a_later_process(self):
        front_end = FrontEnd(effect="tokened", scope="cell", endpoints=[listed_endpoint("a")])
        front_end.router.process_changed("a", front_end.clock)
        front_end.update_endpoints([listed_endpoint("a", started_at=front_end.clock)], whole=False)
        self.assertEqual(front_end.router.workers["a"].process_changed_at, front_end.clock)


if __name__ == "__main__":
    unittest.main()
