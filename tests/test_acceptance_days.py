"""What the acceptance plays beyond the bench (docs/standing.md has the table): a front end on real loopback sockets,
turned by hand on a clock that the test moves. Each race is forced by the order of steps."""

import json
import signal
import socket
import struct
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.acceptance_rig import CLASSES, Stepped, request, settings
from tests.test_fleet import Full, reset, wait_for
from wickdyke.gateway.events import EndpointsReceived
from wickdyke.platform import configuration as stations
from wickdyke.platform import service, worker_connection


def end(sock, how):
    """A worker's end of a connection, closed or reset."""
    if how == "reset":
        reset(sock)
    else:
        sock.shutdown(socket.SHUT_RDWR)


class IdleConnections(Stepped):
    """Workers that close, reset or forget connections that idle: the next request of each class on one."""

    def workers(self):
        """Two that note what they executed; on a forgotten connection they execute nothing."""
        self.executed, self.socks, self.forgotten, self.how = [], [], [], ""

        def play(worker, sock, parts):
            if parts[0] != b"invoke":
                return False
            if sock in self.forgotten:
                if self.how == "reset":
                    reset(sock)
                return True
            self.executed.append(parts[1])
            self.socks.append(sock)
            return False

        return [self.made(rig.Worker(play)).address for _ in range(2)]

    def idle_connection(self):
        """A client, and the front end with one connection to a worker that idles."""
        self.front_end(*self.workers())
        client = self.client()
        client.send(request(1))
        self.assertEqual(self.final(client, 500), (1, "answer", b"did x"))
        self.settle()
        return client

    def check(self, client, name, word, within, settle=True):
        """The next request of that class: its one final answer, and no second execution unless that is safe."""
        client.send(request(2, name, d=str(within)))
        number, got, _ = self.final(client, within + 50, settle)
        self.assertEqual((number, got in word), (2, True), got)
        self.no_more(client)
        executed = self.executed.count(b"%016x" % 2)
        self.assertLessEqual(executed, 1)
        self.assertEqual(executed, got == "answer")
        self.assertEqual(self.faults(), [])

    def test_ended_before_the_next_request(self):
        """Nothing of it went there: it is served, whatever its class."""
        for how in ("closed", "reset"):
            for name in CLASSES:
                with self.subTest(how=how, name=name):
                    client = self.idle_connection()
                    conn = next(
                        c for link in self.serving.coordinator.workers.clients.values() for c in link.connections
                    )
                    end(self.socks[-1], how)
                    wait_for(self, lambda conn=conn: not conn.alive())
                    self.check(client, name, ("answer",), 1500)
                    self.end()

    def test_ended_between_the_last_look_and_the_first_byte(self):
        """It may have run, as far as the front end can tell: only what is safe to repeat is sent again."""
        for how in ("closed", "reset"):
            for name in CLASSES:
                with self.subTest(how=how, name=name):
                    client, alive, ended = self.idle_connection(), worker_connection.WorkerConnection.alive, []

                    def look(conn, how=how, alive=alive, ended=ended):
                        stands = alive(conn)
                        if stands and not ended:
                            ended.append(conn)
                            end(self.socks[-1], how)
                            wait_for(self, lambda: not alive(conn))
                        return stands

                    with patch.object(worker_connection.WorkerConnection, "alive", look):
                        client.send(request(2, name))
                        number, got, _ = self.final(client, 1550)
                    self.assertEqual((number, len(ended)), (2, 1))
                    self.assertIn(got, ("answer",) if name == "look" else ("answer", "fault"))
                    self.no_more(client)
                    self.assertEqual(self.executed.count(b"%016x" % 2), got == "answer")
                    self.end()

    def test_forgotten(self):
        """The connection's state is gone at the worker's side: the next bytes meet a reset, or silence. An idempotent
        request may be refused at its end; one that may have had its effect may not."""
        for how, name, word in (
            ("reset", "look", ("answer",)),
            ("reset", "pay", ("fault",)),
            ("reset", "book", ("answer", "fault")),
            ("silence", "look", ("answer", "fault", "shed")),
            ("silence", "pay", ("fault",)),
            ("silence", "book", ("answer", "fault", "shed")),  # its key is known everywhere: trying again is harmless
            ("reset", "rent", ("answer", "fault")),
            ("silence", "rent", ("answer", "fault")),
        ):
            with self.subTest(how=how, name=name):
                client = self.idle_connection()
                self.how = how
                self.forgotten += self.socks
                self.check(client, name, word, 600, settle=how == "reset")
                self.end()

    def test_all_of_many_idle_connections_at_once(self):
        """Eight connections idle and all are reset as eight requests come: each its answer, none executed twice."""
        self.front_end(*self.workers())
        clients = [self.client() for _ in range(8)]
        for at, client in enumerate(clients):
            client.send(request(1, ident=f"{100 + at:016x}"))
        for client in clients:
            self.assertEqual(self.final(client, 1500)[1], "answer")
        self.settle()
        conns = [conn for link in self.serving.coordinator.workers.clients.values() for conn in link.connections]
        for sock in set(self.socks):
            reset(sock)
        for conn in conns:
            wait_for(self, lambda conn=conn: conn.closed or not conn.alive())
        for at, client in enumerate(clients):
            client.send(request(2, "pay", ident=f"{200 + at:016x}"))
        for client in clients:
            self.assertEqual(self.final(client, 1500), (2, "answer", b"did x"))
        for at in range(8):
            self.assertEqual(self.executed.count(b"%016x" % (200 + at)), 1)
        self.assertEqual(self.faults(), [])


class FailAtOnce(Stepped):
    """Retries and hedged requests whose attempt fails as it begins."""

    def second_worker(self, address):
        """Tells of one more worker."""
        self.serving.coordinator.post(EndpointsReceived([rig.event(2, rig.instance("w9", address))]))
        self.serving.run_once()

    def refused(self):
        """How many attempts met a refused connection."""
        counts = self.serving.protocol.pool.counts
        return sum(many for name, many in counts.items() if name.startswith("connect"))

    def test_a_retry_that_is_refused(self):
        """The first attempt is answered as full, the only other worker is not there: one final answer."""
        for name in CLASSES:
            with self.subTest(name):
                worker = self.worker()
                self.front_end(worker.address)
                client = self.client()
                client.send(request(1, name, b"slow"))
                self.at_worker(1)
                self.second_worker(rig.free_address())
                sock, parts = self.held.pop()
                sock.sendall(rig.bulk(parts[1], b"AGAIN", b"-", b""))
                number, word, _ = self.final(client, 1550, settle=False)
                self.assertEqual((number, word in ("shed", "fault", "answer")), (1, True))
                self.no_more(client)
                self.assertEqual((self.serving.coordinator.requests.by_id, self.faults()), ({}, []))
                self.held.clear()
                self.end()

    def test_a_hedged_request_that_is_refused(self):
        """It fails at once, also for a second time: the first attempt's answer is the final one."""
        self.front_end(self.worker().address, settings=settings({"second-copies": True}))
        self.hedging()
        client = self.client()
        client.send(request(1, "look", b"slow"))
        self.at_worker(1)
        self.second_worker(rig.free_address())
        self.later(200)
        self.assertGreater(self.refused(), 0)
        self.assertFalse(client.waits())
        self.answer_held()
        self.assertEqual(self.answer(client), (1, "answer", b"at last"))
        self.no_more(client)
        self.assertEqual((self.serving.coordinator.requests.by_id, self.faults()), ({}, []))

    def test_a_hedged_request_and_the_first_attempt_fail_in_one_turn(self):
        """The hedge's worker and the first one's connection are both reset unread: one final answer."""
        self.front_end(self.worker().address, settings=settings({"second-copies": True}))
        self.hedging()
        client = self.client()
        client.send(request(1, "look", b"slow"))
        self.at_worker(1)
        self.second_worker(self.worker().address)
        self.until(lambda: (self.later(STEP_OF_HEDGE), len(self.held) >= 2)[1], "the hedge")
        for sock, _ in self.held:
            reset(sock)
        number, word, _ = self.final(client, 1550, settle=False)
        self.assertEqual(number, 1)
        self.assertIn(word, ("answer", "fault", "shed"))  # it is idempotent: a refusal is as good
        self.no_more(client)
        self.assertEqual((self.serving.coordinator.requests.by_id, self.faults()), ({}, []))

    def test_both_answer_in_one_turn(self):
        """The hedge's answer and the first attempt's are read in one turn: the client gets one."""
        self.front_end(self.worker().address, settings=settings({"second-copies": True}))
        self.hedging()
        client = self.client()
        client.send(request(1, "look", b"slow"))
        self.at_worker(1)
        self.second_worker(self.worker().address)
        self.until(lambda: (self.later(STEP_OF_HEDGE), len(self.held) >= 2)[1], "the hedge")
        self.answer_held(b"one")
        self.answer_held(b"one")
        self.assertEqual(self.answer(client), (1, "answer", b"one"))
        self.no_more(client)
        self.assertEqual((self.serving.coordinator.requests.by_id, self.faults()), ({}, []))


STEP_OF_HEDGE = 1.0  # ms


class RestingClients(Stepped):
    """Requests that cross the end of a client's connection that rests."""

    def test_an_unreadable_frame_behind_an_open_request(self):
        """The request before it is answered, then the connection ends; nothing after it reaches a worker."""
        worker = self.worker()
        self.front_end(worker.address)
        client = self.client()
        client.send(request(1, "pay", b"slow"))
        self.at_worker(1)
        client.send(struct.pack(">i", -1) + request(2, "pay"))
        self.until(lambda: any(each.ending for each in self.serving.client_server.clients.values()))
        self.assertEqual(self.answer(client)[1], "exception")
        client.send(request(3, "pay"))
        self.later(100)
        self.answer_held()
        self.assertEqual(self.answer(client), (1, "answer", b"at last"))
        self.assertEqual(self.answer(client)[1], "closed")
        self.assertEqual(len(worker.came(b"invoke")), 1)

    def test_a_connection_that_rested_for_minutes_is_served(self):
        self.front_end(self.worker().address)
        client = self.client()
        client.send(request(1))
        self.final(client, 500)
        self.later(180000.0, 200.0, settle=True)
        client.send(request(2, "pay"))
        self.assertEqual(self.final(client, 500), (2, "answer", b"did x"))

    def test_crossing_the_end_of_the_grace(self):
        """Connections that rest, each with a request sent just before the listener closes: all are answered."""
        serving = self.front_end(self.worker().address)
        clients = [self.client() for _ in range(5)]
        for client in clients:
            client.send(rig.alive(1))
            self.answer(client)
        serving._request_shutdown(signal.SIGTERM, None)
        self.later(service.GRACE_PERIOD - 1, settle=True)
        shut = serving.client_server.shut

        def crossing():
            if not serving.client_server.shut_down:
                for at, client in enumerate(clients):
                    client.send(request(2, CLASSES[at % 3], ident=f"{50 + at:016x}"))
            shut()

        serving.client_server.shut = crossing
        self.now += 2
        serving.run_once()
        for client in clients:
            self.assertEqual(self.final(client, 1000), (2, "answer", b"did x"))
        self.until(lambda: not serving.run_once(), "the end")


class LittleTime(Stepped):
    """Requests with 1 to 30 ms left, which workers drop without a word."""

    def test_one_answer_in_time_and_the_worker_is_not_taken_for_sick(self):
        for name in CLASSES:
            with self.subTest(name):
                dropped = []
                worker = self.made(
                    rig.Worker(
                        lambda _, sock, parts, dropped=dropped: (
                            parts[0] == b"invoke" and parts[3] == b"short" and (dropped.append(parts[1]), True)[1]
                        )
                    )
                )
                self.front_end(worker.address)
                client, shed = self.client(), []
                client.send(request(1))
                self.assertEqual(self.final(client, 500)[1], "answer")
                for left in range(1, 31):
                    client.send(request(left + 1, name, b"short", d=str(left)))
                    number, word, _ = self.final(client, left + 10, settle=False, step=1.0)
                    self.assertEqual(number, left + 1)
                    self.assertIn(word, ("shed", "fault"))
                    if word == "shed":
                        shed.append(b"%016x" % number)
                self.later(1000, 20.0)
                self.assertFalse(client.waits())
                if name == "pay":
                    self.assertEqual(set(shed) & set(dropped), set())
                for at in range(20):
                    client.send(request(100 + at, name))
                    self.assertEqual(self.final(client, 500), (100 + at, "answer", b"did x"))
                self.assertEqual(self.faults(), [])
                self.end()

    def test_many_at_once(self):
        """Thirty in one connection's one write, of all three classes: one answer each, in time."""
        worker = self.made(rig.Worker(lambda _, sock, parts: parts[0] == b"invoke" and parts[3] == b"short"))
        self.front_end(worker.address)
        client = self.client()
        client.send(b"".join(request(at, CLASSES[at % 3], b"short", d=str(at)) for at in range(1, 31)))
        answers = []
        for _ in range(50):
            self.serving.run_once()
            self.now += 1
            while client.waits():
                answers.append(client.answer())
        self.assertEqual(sorted(number for number, _, _ in answers), list(range(1, 31)))
        self.assertLessEqual({word for _, word, _ in answers}, {"shed", "fault"})
        self.no_more(client)
        self.assertEqual((self.serving.coordinator.requests.by_id, self.faults()), ({}, []))


class LongQuiet(Stepped):
    """Trouble that begins after a long quiet time."""

    def test_an_outage_of_discovery_then_a_drain_and_a_restart_together(self):
        source, one, two = self.made(rig.Bus()), self.worker(), self.worker()
        serving = self.front_end(one.address, two.address, bus=source.address)
        self.until(lambda: source.asked)
        client = self.client()
        client.send(request(1))
        self.assertEqual(self.final(client, 500)[1], "answer")
        port = int(source.address.rpartition(":")[2])
        source.listener.shutdown(socket.SHUT_RDWR)
        source.close()
        self.until(lambda: serving.discovery.counts["ended"])
        self.later(90000.0, 50.0, settle=True)  # nothing but an outage: all idle connections end
        self.assertFalse(any(link.connections for link in serving.coordinator.workers.clients.values()))
        client.send(request(2, "pay"))
        self.assertEqual(self.final(client, 500), (2, "answer", b"did x"))
        again, make = rig.Bus.__new__(rig.Bus), socket.create_server
        again.asked, again.readers = [], []
        with patch.object(rig.socket, "create_server", lambda at: make(("127.0.0.1", port))):
            rig.Listener.__init__(again)
        self.made(again)
        self.until(lambda: (self.later(50.0), again.asked)[1], "the list's next request")
        again.event(rig.event(2, rig.instance("w0", one.address, lifecycle="DRAINING")))
        serving._request_shutdown(signal.SIGTERM, None)
        self.until(lambda: serving.endpoints.offset == 2, "the drain")
        before = len(one.came(b"invoke"))
        for at in range(3, 9):
            client.send(request(at, CLASSES[at % 3]))
            self.assertEqual(self.final(client, 500), (at, "answer", b"did x"))
        self.assertEqual(len(one.came(b"invoke")), before)
        self.now += service.GRACE_PERIOD + 1
        self.until(lambda: not serving.run_once(), "the end")
        self.assertEqual(self.faults(), [])


class Configurations(Stepped):
    """New configurations in quick succession."""

    def test_several_signals_at_once_are_one_read(self):
        old, new = self.made(rig.Bus()), self.made(rig.Bus())
        serving = self.front_end(self.worker().address, bus=old.address)
        self.until(lambda: old.asked)
        self.write(new.address)
        for _ in range(5):
            serving._request_reload(signal.SIGHUP, None)
        self.until(lambda: new.asked)
        for _ in range(5):
            serving.run_once()
        self.assertEqual((old.asked, new.asked), ([1], [1]))

    def test_replaced_between_its_read_and_what_follows(self):
        """A signal that comes as the file is being read leads to one more read: the last file counts."""
        old, new, last = (self.made(rig.Bus()) for _ in range(3))
        worker = self.worker()
        serving = self.front_end(worker.address, bus=old.address)
        self.until(lambda: old.asked)
        self.write(new.address, worker.address)
        load, replaced = stations.load, []

        def loaded(path):
            given = load(path)
            if not replaced:
                replaced.append(True)
                self.write(last.address, worker.address)
                serving._request_reload(signal.SIGHUP, None)
            return given

        with patch.object(stations, "load", loaded):
            serving._request_reload(signal.SIGHUP, None)
            self.until(lambda: last.asked)
        last.event(rig.event(2, rig.instance("w1", self.worker().address)))
        self.until(lambda: serving.endpoints.offset == 2)
        for _ in range(5):
            serving.run_once()
        self.assertEqual((len(serving.endpoints), last.asked), (2, [1]))
        self.assertEqual(serving.discovery.address[1], int(last.address.rpartition(":")[2]))

    def test_ten_in_a_row_while_requests_run(self):
        """Each moves discovery while a request is open: each is answered, numbers go on, nothing is left behind."""
        sources, worker = [self.made(rig.Bus()) for _ in range(2)], self.worker()
        serving = self.front_end(worker.address, bus=sources[0].address)
        self.until(lambda: sources[0].asked)
        client = self.client()
        for at in range(1, 11):
            source = sources[at % 2]
            client.send(request(at, CLASSES[at % 3], b"slow"))
            self.at_worker(1)
            self.write(source.address)
            serving._request_reload(signal.SIGHUP, None)
            many = len(source.asked)
            self.until(lambda source=source, many=many: len(source.asked) > many and serving.discovery.up)
            source.event(rig.event(at + 1, rig.instance(f"x{at}", worker.address, lifecycle="DRAINING")))
            self.until(lambda at=at: serving.endpoints.offset == at + 1)
            self.answer_held()
            self.assertEqual(self.final(client, 500), (at, "answer", b"at last"))
        self.assertEqual((sources[0].asked, sources[1].asked), ([1, 2, 4, 6, 8, 10], [1, 3, 5, 7, 9]))
        self.assertEqual(self.faults(), [])

    def test_half_written_then_whole(self):
        """(what the file holds at the signal) -> the old one stays in force; the next whole one is followed."""
        for cut in (0, 1, 100, -1):
            with self.subTest(cut):
                old, new, worker = self.made(rig.Bus()), self.made(rig.Bus()), self.worker()
                serving = self.front_end(worker.address, bus=old.address)
                self.until(lambda old=old, bus=serving.discovery: old.asked and bus.up)
                self.write(new.address, worker.address)
                with open(self.path) as source:
                    whole = source.read()
                with open(self.path, "w") as out:
                    out.write(whole[:cut])
                serving._request_reload(signal.SIGHUP, None)
                for _ in range(5):
                    serving.run_once()
                self.assertEqual((new.asked, serving.discovery.up), ([], True))
                client = self.client()
                client.send(request(1))
                self.assertEqual(self.final(client, 500)[1], "answer")
                with open(self.path, "w") as out:
                    out.write(whole)
                serving._request_reload(signal.SIGHUP, None)
                self.until(lambda new=new: new.asked)
                self.assertEqual(new.asked, [1])
                self.end()


class Raw(rig.Listener):
    """A discovery service of which the test writes each byte: `readers` holds its connections, their heads read. While
    it is `crowded`, it answers by itself that it is."""

    def __init__(self):
        self.readers, self.crowded = [], False
        super().__init__()

    def _serve(self, sock):
        head = b""
        try:
            while not head.endswith(b"\r\n\r\n"):
                if not (byte := sock.recv(1)):
                    return
                head += byte
            if self.crowded:
                sock.sendall(CROWDED)
                sock.shutdown(socket.SHUT_WR)
                return
        except OSError:
            return
        self.readers.append(sock)


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
CROWDED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\nConnection: close\r\n\r\nfull\n"


def told(number, *instances):
    """An event as it stands on the stream."""
    return b"id: %d\ndata: %s\n\n" % (number, json.dumps(rig.event(number, *instances)).encode())


class Discovery(Stepped):
    """Discovery that is slow or crowded."""

    def reading(self):
        """Counts reads of the list, so that each piece is read alone."""
        read, self.reads = self.serving.discovery.readable, 0

        def readable():
            self.reads += 1
            read()

        self.serving.discovery.readable = readable

    def piece(self, sock, data, pause):
        """Writes so much, has it read, and lets a time pass; False where that connection has ended."""
        many = self.reads
        try:
            sock.sendall(data)
        except OSError:
            return False
        self.until(lambda: self.reads > many, "a read of the list")
        self.later(pause, settle=True)
        return True

    def test_byte_by_byte(self):
        """Head and event in single bytes, the head over 2 s, the event over 1.2 s: followed, and told once."""
        source, worker = self.made(Raw()), self.worker()
        serving = self.front_end(worker.address, bus=source.address)
        self.reading()
        self.until(lambda: source.readers)
        for byte in HEAD:
            self.assertTrue(self.piece(source.readers[0], bytes([byte]), 2000 / len(HEAD)))
        event = told(2, rig.instance("w1", worker.address))
        for byte in event:
            self.assertTrue(self.piece(source.readers[0], bytes([byte]), 1200 / len(event)))
        self.until(lambda: serving.endpoints.offset == 2)
        self.assertEqual((len(source.readers), serving.discovery.counts["silent"]), (1, 0))

    def test_crowded(self):
        """503 for 30 s, then served: requests go on, it is asked again apart, and the events are told."""
        source, worker = self.made(Raw()), self.worker()
        source.crowded = True
        serving = self.front_end(worker.address, bus=source.address)
        client = self.client()
        for number in range(1, 61):
            client.send(request(number, CLASSES[number % 3]))
            self.assertEqual(self.final(client, 500)[1], "answer")
            for _ in range(50):
                self.later(10.0, 10.0, settle=True)
                self.until(lambda: serving.discovery.sock is None, "the word that it is crowded")
        self.assertLess(serving.discovery.counts["connects"], 30000 / 100)
        self.assertGreater(serving.discovery.counts["connects"], 30000 / 500)
        source.crowded, seen = False, 0
        self.until(lambda: (self.later(20.0), source.readers)[1], "the next request for the list")
        while serving.endpoints.offset < 2:
            for sock in source.readers[seen:]:
                try:
                    sock.sendall(HEAD + told(2, rig.instance("w1", worker.address)))
                except OSError:
                    pass
            seen = len(source.readers)
            self.later(20.0)
        self.assertEqual(len(serving.endpoints), 2)
        self.assertEqual(self.faults(), [])

    def test_connections_taken_late(self):
        """Nobody takes the list's connections for 30 s: requests go on, with a bound on tries; then it is followed."""
        full, worker = Full(self), self.worker()
        serving = self.front_end(worker.address, bus=full.address)
        client = self.client()
        for number in range(1, 31):
            client.send(request(number, CLASSES[number % 3]))
            self.assertEqual(self.final(client, 500)[1], "answer")
            self.later(1000, 10.0, settle=True)
        self.assertLess(serving.discovery.counts["connects"], 30000 / 100)
        source = self.made(rig.Bus())
        self.write(source.address, worker.address)
        serving._request_reload(signal.SIGHUP, None)
        self.until(lambda: source.asked and serving.discovery.up)
        source.event(rig.event(2, rig.instance("w1", worker.address)))
        self.until(lambda: serving.endpoints.offset == 2)
        self.assertEqual(self.faults(), [])


class GoneClients(Stepped):
    """No attempt begins more than 0.1 s after the client has closed or cancelled."""

    def leave(self, client, how):
        """The client closes, resets or cancels request 1."""
        if how == "cancel":
            client.send(rig.cancel(2, 1))
        elif how == "reset":
            reset(client.sock)
        else:
            client.close()

    def gone(self, client, how):
        """It leaves, and 0.1 s pass."""
        self.leave(client, how)
        self.until(lambda: self.serving.coordinator.counts["clients_gone"], "its leaving")
        self.later(100)

    def test_a_retry(self):
        for how in ("cancel", "close", "reset"):
            for cancelling in (True, False):
                for word in (b"AGAIN", b"NOENT", b"EIO"):
                    with self.subTest(how=how, cancelling=cancelling, word=word):
                        one, two = self.worker(), self.worker()
                        self.front_end(one.address, two.address, settings=settings({"cancelling": cancelling}))
                        client = self.client()
                        client.send(request(1, "look", b"slow"))
                        self.at_worker(1)
                        self.gone(client, how)
                        sock, parts = self.held.pop()
                        try:
                            sock.sendall(rig.bulk(parts[1], word, b"-", b""))
                        except OSError:
                            pass  # ended with the attempt
                        self.later(1000, 20.0)
                        self.assertEqual(len(one.came(b"invoke") + two.came(b"invoke")), 1)
                        self.end()

    def test_a_hedged_request(self):
        for how in ("cancel", "close", "reset"):
            for cancelling in (True, False):
                with self.subTest(how=how, cancelling=cancelling):
                    one, two = self.worker(), self.worker()
                    limits = {"cancelling": cancelling, "second-copies": True}
                    self.front_end(one.address, two.address, settings=settings(limits))
                    self.hedging()
                    client = self.client()
                    client.send(request(1, "look", b"slow"))
                    self.at_worker(1)
                    self.gone(client, how)
                    self.later(1000, 20.0)
                    self.assertEqual(len(one.came(b"invoke") + two.came(b"invoke")), 1)
                    self.held.clear()
                    self.end()

    def test_what_waits_for_a_load(self):
        """A miss led to an order to load, and the client leaves before it ends: the request goes nowhere."""
        family = {**rig.SETTINGS["family-info"], "if-cold": "miss"}
        for how in ("cancel", "close", "reset"):
            with self.subTest(how):
                orders = []

                def play(worker, sock, parts, orders=orders):
                    if parts[0] == b"invoke":
                        sock.sendall(rig.bulk(parts[1], b"NOENT", b"-", b""))
                        return True
                    return parts[0] == b"prewarm" and (orders.append((sock, parts)), True)[1]

                worker = self.made(rig.Worker(play))
                self.front_end(worker.address, settings=settings(**{"family-info": family}))
                client = self.client()
                client.send(request(1, "look"))
                self.until(lambda orders=orders: (self.later(1.0), orders)[1], "an order to load")
                many = len(worker.came(b"invoke"))
                self.assertFalse(client.waits())
                self.gone(client, how)
                worker.play = None
                for sock, parts in orders:
                    sock.sendall(rig.bulk(parts[1], b"ACK", b"units=1", b""))
                self.later(1000, 20.0)
                self.settle()
                self.assertEqual(len(worker.came(b"invoke")), many)
                self.end()


class SweptAndStarved(Stepped):
    """What silent connections and clients that never stop sending must not cost; each failed at 8f1d016."""

    def number_one(self):
        """The front end's side of the first client's connection."""
        return next(iter(self.serving.client_server.clients.values()))

    def test_a_first_request_that_came_as_its_silent_connection_ends(self):
        """The connection said nothing for 2 s, and its request is there, unread, as the sweep comes: it is answered."""
        self.front_end(self.worker().address)
        client = self.client()
        self.until(lambda: self.serving.client_server.clients)
        self.later(1990.0)
        client.send(request(1))
        wait_for(self, lambda: peeked(self.number_one().sock))
        self.now += 300
        self.assertEqual(self.final(client, 500), (1, "answer", b"did x"))

    def test_the_last_byte_that_came_as_its_half_frame_ends(self):
        """The rest of a frame begun 2 s ago is there, unread, as the sweep comes: it is answered."""
        self.front_end(self.worker().address)
        client, whole = self.client(), request(1)
        client.send(whole[:20])
        self.until(lambda: self.serving.client_server.clients and self.number_one().frames.begun)
        self.later(1990.0)
        client.send(whole[20:])
        wait_for(self, lambda: peeked(self.number_one().sock))
        self.now += 300
        self.assertEqual(self.final(client, 500), (1, "answer", b"did x"))

    def test_open_requests_of_a_connection_that_is_ended(self):
        """(what came behind the request) -> it is answered, also where that takes 3 s of its 4."""
        for behind in (struct.pack(">i", -1), request(2)[:20]):
            with self.subTest(behind=behind):
                self.front_end(self.worker().address)
                client = self.client()
                client.send(request(1, "pay", b"slow", d="4000"))
                self.at_worker(1)
                client.send(behind)
                first = self.number_one()
                self.until(lambda first=first: first.ending or first.frames.begun)
                if first.ending:
                    self.assertEqual(self.answer(client)[1], "exception")
                self.later(3000.0, 20.0)
                self.answer_held()
                self.assertEqual(self.answer(client), (1, "answer", b"at last"))
                self.end()

    def test_an_event_of_discovery_that_takes_3_s(self):
        """Slow discovery: an event comes in even pieces of a tenth of a second, on each connection anew: it is told."""
        source, worker = self.made(Raw()), self.worker()
        serving = self.front_end(worker.address, bus=source.address)
        event = HEAD + told(2, rig.instance("w1", worker.address))
        pieces = [event[at : at + len(event) // 30 + 1] for at in range(0, len(event), len(event) // 30 + 1)]
        sent = {}
        for _ in range(300):
            for sock in list(source.readers):
                at = sent.setdefault(sock, 0)
                if at < len(pieces):
                    try:
                        sock.sendall(pieces[at])
                    except OSError:
                        pass
                    sent[sock] += 1
            self.later(100, 20.0, settle=True)
            if serving.endpoints.offset == 2:
                break
        self.assertEqual(serving.endpoints.offset, 2, f"asked {serving.discovery.counts['connects']} times in 30 s")

    def costly(self, ms):
        """Each read of a client takes so many ms from now on."""
        kind = type(self.number_one())
        read = kind.readable

        def readable(client):
            self.now += ms
            read(client)

        return patch.object(kind, "readable", readable)

    def test_who_left_among_many_that_ask(self):
        """Forty others cost 5 ms each to read. One closes, and its worker is full 150 ms later: no attempt then."""
        one, two = self.worker(), self.worker()
        serving = self.front_end(one.address, two.address)
        client = self.client()
        client.send(request(1, "look", b"slow"))
        self.at_worker(1)
        others = [self.client() for _ in range(40)]
        for other in others:
            other.send(rig.alive(1))
            self.answer(other)
        with self.costly(5.0):
            for other in others:
                other.send(rig.alive(2))
            client.close()
            left = self.now
            while self.now < left + 150:
                serving.run_once()
                self.now += 1
                for other in others:
                    if other.waits():
                        other.answer()
                        other.send(rig.alive(3))
            sock, parts = self.held.pop()
            try:
                sock.sendall(rig.bulk(parts[1], b"AGAIN", b"-", b""))
            except OSError:
                pass  # ended with the attempt
            for _ in range(50):
                serving.run_once()
        self.assertEqual(len(one.came(b"invoke") + two.came(b"invoke")), 1)

    def test_who_asks_beside_clients_that_never_stop_sending(self):
        """Three send without a pause, more than is read of each in a turn. Another one's request is read as well."""
        serving = self.front_end(self.worker().address)
        floods = [self.client() for _ in range(3)]
        for flood in floods:
            flood.sock.setblocking(False)
            try:
                while True:
                    flood.sock.send(rig.cancel(1, 1) * 1000)
            except BlockingIOError:
                pass
        self.until(lambda: len(serving.client_server.clients) == 3)
        client = self.client()
        self.until(lambda: len(serving.client_server.clients) == 4)
        client.send(request(1))
        wait_for(self, lambda: peeked(serving.client_server.clients[4].sock))
        with self.costly(6.0):
            for _ in range(10):  # 30 reads, while each of the three has bytes for more
                serving.run_once()
                if any(each.last_number for each in serving.client_server.clients.values()):
                    break
        self.assertTrue(
            all(peeked(each.sock) for each in serving.client_server.clients.values() if not each.last_number)
        )
        self.assertTrue(
            any(each.last_number for each in serving.client_server.clients.values()), "its request was not read"
        )


def peeked(sock):
    """Whether something has come there."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
    except OSError:
        return False


if __name__ == "__main__":
    unittest.main()
