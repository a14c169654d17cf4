"""The desk and its parts together: times, losses, lists, logs, stopping, and recordings played again."""

import functools
import io
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
import unittest.mock
from collections import Counter

from tests.rig import LONG, Client, Running, hello, lines_of, ok, until, willing
from wickdyke.config.endpoint_file import EndpointRow, format_endpoints
from wickdyke.gateway import log as logs
from wickdyke.gateway import recording
from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.transport.line_server import AddressInUseError, listener


def silent(sock, number):
    source = lines_of(sock)
    hello(sock, source)
    for _ in source:
        pass


def answers_after(ms):
    """Answers each call-out so long after its time is up."""

    def play(sock, number):
        source = lines_of(sock)
        hello(sock, source)
        for asked in source:
            if asked["method"] == "run":
                time.sleep((asked["params"]["time_left_ms"] + ms) / 1000)
                sock.sendall(ok(asked["id"]))

    return play


def dies_on_run(sock, number):
    source = lines_of(sock)
    hello(sock, source, start=number)
    for asked in source:
        if asked["method"] == "run":
            sock.shutdown(socket.SHUT_RDWR)
            return


def refuses(code):
    def play(sock, number):
        source = lines_of(sock)
        hello(sock, source)
        for asked in source:
            if asked["method"] in ("run", "hold"):
                sock.sendall(jsonrpc.error_response(asked["id"], code, "no", b"{}") + b"\n")

    return play


def a_byte_a_time(sock, number):
    source = lines_of(sock)
    hello(sock, source)
    for asked in source:
        for byte in ok(asked["id"]):
            sock.sendall(bytes([byte]))
            time.sleep(0.05)


class Answers(unittest.TestCase):
    def test_final(self):
        """(workers, method) -> the final answer and its word, before the client's time is up."""
        for name, workers, method, answer, why in (
            ("served", (willing,), "idem", "ok", None),
            ("silent", (silent,), "idem", "denied", "cancelled timeout"),
            ("silent, side-effecting", (silent,), "side", "aborted", "timeout"),
            ("just after its time", (answers_after(5),), "side", "aborted", "timeout"),
            ("a byte a time", (a_byte_a_time,), "side", "aborted", "timeout"),
            ("dies, side-effecting", (dies_on_run,), "side", "aborted", "cut"),
            ("fails, side-effecting", (refuses(worker_messages.FAILED),), "side", "aborted", "error"),
            ("full, side-effecting", (refuses(worker_messages.FULL),), "side", "denied", "full"),
            ("no worker", (), "idem", "denied", "no-place"),
        ):
            with self.subTest(case=name), Running(workers, soft="400 ms", deadline="900 ms") as running:
                client = running.client()
                began = time.monotonic()
                client.ask(1, method)
                got = client.answer()
                took = (time.monotonic() - began) * 1000
                data = got["result"] if "result" in got else got["error"]["data"]
                self.assertEqual(data["answer"], answer)
                self.assertIn(data.get("why", ""), why or "")
                self.assertLess(took, 900)
                client.sock.settimeout(0.3)
                with self.assertRaises(TimeoutError):
                    client.answer()  # and nothing after
                client.close()

    def test_client_leaves(self):
        """One that hangs up, or cancels, frees what it held; the worker is told."""
        for how in ("hang up", "cancel"):
            cancelled = threading.Event()

            def play(sock, number, cancelled=cancelled):
                source = lines_of(sock)
                hello(sock, source)
                for asked in source:
                    if asked["method"] == "cancel":
                        cancelled.set()

            with self.subTest(how=how), Running((play,)) as running:
                client = running.client()
                client.ask("x")
                self.assertTrue(
                    until(
                        lambda running=running: running.coordinator.requests.by_id
                        and next(iter(running.coordinator.requests.by_id.values())).commands
                    )
                )
                if how == "cancel":
                    client.tell(jsonrpc.notification_line("cancel", b'{"id":"x"}'))
                else:
                    client.close()
                self.assertTrue(cancelled.wait(LONG))
                self.assertTrue(until(lambda running=running: not running.coordinator.requests.by_id))
                if how == "cancel":
                    client.ask("x")  # the id is free again
                client.close()

    def test_cancelled_on_the_way(self):
        """An answer that a cancel overtook is not sent, since its id may be in use again."""
        with Running((silent,)) as running:
            client = running.client()
            client.ask("x")
            self.assertTrue(until(lambda: running.coordinator.requests.by_id))
            first = next(iter(running.coordinator.requests.by_id.values()))
            client.tell(jsonrpc.notification_line("cancel", b'{"id":"x"}'))
            client.ask("x")
            self.assertTrue(until(lambda: any(ask is not first for ask in running.coordinator.requests.by_id.values())))
            first.answer(b'{"wrong":1}')
            client.sock.settimeout(0.2)
            with self.assertRaises(TimeoutError):
                client.answer()
            client.close()

    def test_no_cancel(self):
        """Where nothing may be cancelled, a call-out that never ends is let go when its RPC's time is up."""
        with Running((silent,), deadline="700 ms", soft="600 ms", more="(call-outs (cancel no))") as running:
            client = running.client()
            client.ask(1)
            self.assertTrue(until(lambda: running.coordinator.requests.by_id))
            client.close()
            self.assertTrue(until(lambda: not running.coordinator.requests.by_id))

    def test_payload(self):
        """A payload of megabytes goes through as it is, to the worker and back."""

        def echo(sock, number):
            # it answers probes as well: on a slow machine one that does not counts as mute, and is asked anew each time
            willing(sock, number, lambda asked: jsonrpc.encode(asked["input"]))

        with Running((echo,), deadline="60 s", soft="50 s") as running:
            client = running.client()
            for payload in ("x" * (8 << 20), "\u00e9\u2603" * 1000, {"a": [1.5, None, {"b": '\\"'}]}):
                client.ask(1, input=payload)
                self.assertEqual(client.answer()["result"]["output"], payload)
            client.close()

    def test_worker_that_reads_nothing(self):
        """A call-out that is to end there can't be cancelled: its link is cut for it, and others go on."""

        def deaf(sock, number):
            asked = b""
            while not asked.endswith(b"\n"):
                asked += sock.recv(1)
            sock.sendall(
                jsonrpc.result_response(
                    0, jsonrpc.encode(worker_messages.WorkerHello(worker_messages.VERSION, "w", 1, 1e6))
                )
                + b"\n"
            )
            threading.Event().wait(60)

        with Running((deaf,), deadline="60 s", soft="50 s") as running:
            client = running.client()
            client.ask(1, input="x" * (8 << 20))
            self.assertTrue(until(lambda: any(ask.commands for ask in running.coordinator.requests.by_id.values())))
            client.close()
            self.assertTrue(until(lambda: "worker disconnected" in running.said.getvalue()))
            self.assertTrue(until(lambda: not running.coordinator.requests.by_id))


class Lists(unittest.TestCase):
    def test_broken_list(self):
        """What can't be read leaves the last good list in force, and is said once."""
        with Running() as running:
            for text in ("(workers (worker", "", '(workers (worker "w0" (adress "x")))', "(workers)) ", "\xff(("):
                said = running.said.getvalue().count("list unusable")
                running.write(text)
                self.assertTrue(until(lambda said=said: running.said.getvalue().count("list unusable") == said + 1))
                client = running.client()
                client.ask(1)
                self.assertIn("result", client.answer())
                client.close()
            self.assertEqual(running.said.getvalue().count("list unusable"), 5)
            os.unlink(os.path.join(running.folder, "workers.sexp"))
            self.assertTrue(until(lambda: running.said.getvalue().count("list unusable") == 6))
            self.assertEqual(len(list(running.coordinator.router.fleet.ready())), 1)

    def test_changes(self):
        """(rows written) -> who is ready then."""
        with Running((willing, willing)) as running:
            one, two = running.rows
            moved = EndpointRow("w0", two.address, None, None, 0, 4.0, "ready", 0)
            for rows, ready in (
                ([one], ["w0"]),
                ([one, two], ["w0", "w1"]),
                ([EndpointRow(**{**_fields(one), "state": "draining"}), two], ["w1"]),
                ([one, two], ["w0", "w1"]),
                ([EndpointRow(**{**_fields(one), "state": "gone"}), two], ["w1"]),
                ([moved], ["w0"]),
                ([], []),
                ([one, two], ["w0", "w1"]),
            ):
                running.write(format_endpoints(rows))
                with self.subTest(rows=rows):
                    self.assertTrue(
                        until(
                            lambda ready=ready: sorted(
                                w.endpoint.ident for w in running.coordinator.router.fleet.ready()
                            )
                            == ready
                        )
                    )

    def test_drains_by_its_own_word(self):
        """A worker that answers that it drains gets nothing more, whatever the list says."""
        with Running((refuses(worker_messages.DRAINING), willing)) as running:
            client = running.client()
            for at in range(40):
                client.ask(at, program=f"p{at}")
                self.assertIn("result", client.answer())
                if not any(w.endpoint.ident == "w0" for w in running.coordinator.router.fleet.ready()):
                    break
            self.assertEqual([w.endpoint.ident for w in running.coordinator.router.fleet.ready()], ["w1"])
            client.close()

    def test_restart_is_known(self):
        """A worker that starts anew says so in its hello: it counts as cold and empty from then."""
        again = threading.Event()

        def play(sock, number):
            source = lines_of(sock)
            hello(sock, source, start=number, up=1e6 if number == 1 else 0.0)
            if number == 1:
                again.wait(LONG)
                sock.shutdown(socket.SHUT_RDWR)
            for _ in source:
                pass

        with Running((play,), more="") as running:
            worker = running.coordinator.router.workers["w0"]
            again.set()
            self.assertTrue(until(lambda: running.coordinator.router.workers["w0"] is not worker))
            self.assertGreater(running.coordinator.router.workers["w0"].warming_since, time.monotonic() * 1000 - 20000)


def _ended(running):
    """Call-outs whose time was up, or that the module took back before."""
    return running.coordinator.counts["attempts_timeout"] + running.coordinator.counts["attempts_cancelled"]


class Routed(unittest.TestCase):
    ROUTE = '(route "r" (takes (method "idem")) (deadline %d ms) (attempt 300 ms) (attempts %d) (again timeout))'

    def test_terms(self):
        """Attempts and their time are the route's; the deadline too. (attempts) -> call-outs seen by the workers."""
        for attempts in (1, 2):
            with (
                self.subTest(attempts=attempts),
                Running((silent, silent, silent), routes=self.ROUTE % (8000, attempts)) as running,
            ):
                client = running.client()
                client.ask(1)
                self.assertEqual(client.answer()["error"]["data"], {"answer": "denied", "why": "timeout"})
                self.assertEqual(_ended(running), attempts)
                client.close()

    def test_reread(self):
        """RPCs taken keep their terms, later ones get the new; a bad file leaves the old in force and is said once."""
        with Running((silent, silent), routes=self.ROUTE % (9000, 1), tape=True) as running:
            client = running.client()
            client.ask(1, program="pa")
            self.assertTrue(until(lambda: running.coordinator.requests.by_id))
            before = next(iter(running.coordinator.requests.by_id.values())).route_policy
            for bad in (self.ROUTE % (200, 1), "(route", self.ROUTE % (9000, 9)):
                said = running.said.getvalue().count("routes unusable")
                running.route(bad)
                self.assertTrue(until(lambda said=said: running.said.getvalue().count("routes unusable") == said + 1))
            self.assertEqual(running.gateway.client_server.checker.routes.find("idem", "p").policy.deadline, 9000)
            running.route(self.ROUTE % (7000, 2))
            self.assertTrue(
                until(lambda: running.gateway.client_server.checker.routes.find("idem", "p").policy.deadline == 7000)
            )
            client.ask(2, program="pb")
            answers = {each["id"]: each["error"]["data"]["why"] for each in (client.answer(), client.answer())}
            self.assertEqual(answers, {1: "timeout", 2: "timeout"})
            self.assertEqual((before.attempts, _ended(running)), (1, 3))
            client.close()
            running.gateway.recorder.close()
            with open(running.config.recording_path, "rb") as source:
                self.assertIsNone(recording.replay(source)[1])

    def test_change_that_strands(self):
        """A budget that lives by its share is not taken from RPCs in flight: first a floor, then, once they are
        answered, the file that waited is read without being written again."""
        bare = (
            '(route "r" (takes (method "idem")) (deadline 2 s) (soft-deadline 300 ms) (attempt 300 ms) '
            "(attempts 2) (again timeout) (budget (window 9 s) (share 0.1)%s))"
        )
        other = '(route "s" (takes (method "idem")) (deadline 7 s))'
        with Running((silent, silent), routes=bare % "", more="(call-outs (most 3) (dial 200 ms))") as running:

            def named():
                return [route.name for route in running.gateway.client_server.checker.routes.routes]

            def said():
                return running.said.getvalue().count("routes unusable")

            running.route(other)
            self.assertTrue(until(lambda: said() == 1))
            self.assertIn('route \\"r\\" is gone', running.said.getvalue())
            running.route(bare % " (floor 1)")
            self.assertTrue(
                until(
                    lambda: running.gateway.client_server.checker.routes.routes[0].fields.retry_budget.value.floor == 1
                )
            )
            running.route(other)
            self.assertTrue(until(lambda: named() == ["s"]))
            self.assertLessEqual(said(), 2)


class Isolated(unittest.TestCase):
    """Programs that load nowhere and calls that end copies, through the real desk."""

    @staticmethod
    def worker(sock, number, seen, refuse):
        """Refuses what `refuse` gives a code for, answers the rest; counts call-outs by program and input."""
        source = lines_of(sock)
        hello(sock, source)
        for asked in source:
            if asked["method"] == "run":
                run = asked["params"]
                seen[run["program"], run["input"]["n"]] += 1
                code = refuse(run)
                sock.sendall(
                    jsonrpc.error_response(
                        asked["id"], code, "no", b'{"inside":1}' if code == worker_messages.REPLICA_ENDED else b"{}"
                    )
                    + b"\n"
                    if code
                    else ok(asked["id"])
                )
            elif asked["method"] == "hold":
                sock.sendall(jsonrpc.error_response(asked["id"], worker_messages.FULL, "no") + b"\n")
            elif asked["method"] == "probe":
                sock.sendall(jsonrpc.result_response(asked["id"], b"{}") + b"\n")

    def running(self, seen, refuse, more):
        peer = functools.partial(self.worker, seen=seen, refuse=refuse)
        return Running((peer, peer, peer), soft="1 s", deadline="5 s", more=more)

    def test_program(self):
        """One that loads nowhere is denied at once with when to come back, tried now and then, and is back once it
        loads; others go on meanwhile."""
        seen, broken = Counter(), threading.Event()
        broken.set()

        def refuse(run):
            return worker_messages.MISS if run["program"] == "pbad" and broken.is_set() else None

        with self.running(seen, refuse, "(isolation (loads (first 400 ms) (most 400 ms)))") as running:
            client = running.client()
            for ident in range(40):
                client.ask(ident, program="pbad")
                said = client.answer()["error"]["data"]
                self.assertEqual(said["answer"], "denied")
                if said["why"] == "load-failed":
                    self.assertLessEqual(0, said["retry_after_ms"])
            self.assertGreater(running.coordinator.counts["turned_away_load-failed"], 20)
            self.assertLess(sum(seen.values()), 20)
            client.ask("other", program="pgood")
            self.assertEqual(client.answer()["result"]["answer"], "ok")
            broken.clear()

            def back_again():
                client.ask("again", program="pbad")
                return "result" in client.answer()

            self.assertTrue(until(back_again))
            self.assertTrue(until(lambda: "program back" in running.said.getvalue()))  # said beside the answer
            client.close()

    def test_call(self):
        """(method, copies) -> call-outs that a poison call gets before it is denied; others of its program go on."""
        for method, copies, most in (("idem", 2, 2), ("idem", 4, 4), ("side", 2, 2)):
            seen = Counter()
            with (
                self.subTest(method=method, copies=copies),
                self.running(
                    seen,
                    lambda run: worker_messages.REPLICA_ENDED if run["input"]["n"] == "bad" else None,
                    f"(isolation (calls (copies {copies}) (first 1 min)))",
                ) as running,
            ):
                client = running.client()
                answers = []
                for ident in range(8):
                    client.ask(ident, method, program="p", input={"n": "bad"})
                    answers.append(client.answer()["error"]["data"])
                self.assertEqual(seen["p", "bad"], most)
                self.assertEqual((answers[-1]["answer"], answers[-1]["why"]), ("denied", "poison"))
                self.assertGreater(answers[-1]["retry_after_ms"], 1000)
                if method == "side":  # its first ones ran, and are told so
                    self.assertEqual([each["answer"] for each in answers[:2]], ["aborted", "aborted"])
                client.ask("fine", method, program="p", input={"n": "fine"})
                self.assertEqual(client.answer()["result"]["answer"], "ok")
                client.close()

    def test_workers_that_go_down(self):
        """A call whose worker ends under it gathers blame; one whose connection only ended does not.
        (whether the worker has a new start after) -> barred"""
        for restarts, barred in ((True, True), (False, False)):
            with self.subTest(restarts=restarts):

                def play(sock, number, restarts=restarts):
                    source = lines_of(sock)
                    hello(sock, source, start=1 + (number if restarts else 0))
                    for asked in source:
                        if asked["method"] == "run" and asked["params"]["input"]["n"] == "bad":
                            return sock.shutdown(socket.SHUT_RDWR)
                        if asked["method"] == "run":
                            sock.sendall(ok(asked["id"]))
                        elif asked["method"] == "probe":
                            sock.sendall(jsonrpc.result_response(asked["id"], b"{}") + b"\n")

                with Running(
                    (play, play), soft="500 ms", deadline="3 s", more="(isolation (calls (copies 2) (first 1 min)))"
                ) as running:
                    client = running.client()
                    for ident in range(3):
                        client.ask(ident, "side", input={"n": "bad"})
                        self.assertEqual(client.answer()["error"]["data"]["answer"], "aborted")
                        self.assertTrue(
                            until(lambda running=running: not running.coordinator.isolation.breaker.unsettled)
                        )
                        if "p" in running.coordinator.isolation.breaker.requests.open_by_function:
                            break
                    self.assertEqual("p" in running.coordinator.isolation.breaker.requests.open_by_function, barred)
                    client.close()


def _fields(row):
    return {name: getattr(row, name) for name in row.__slots__}


class Recordings(unittest.TestCase):
    def test_replay(self):
        """The same events give the same decisions, without sockets; a decision changed by hand is found."""
        with Running(
            (willing, refuses(worker_messages.FULL), dies_on_run, silent), soft="300 ms", deadline="800 ms", tape=True
        ) as running:
            client = running.client()
            for at in range(150):
                client.ask(at, ("idem", "side")[at % 3 == 0], f"p{at % 7}")
            got = {client.answer()["id"] for _ in range(150)}
            self.assertEqual(got, set(range(150)))
            client.close()
            running.gateway.client_server.shut()
            running.coordinator.end()
            running.gateway.recorder.close()
            with open(running.config.recording_path, "rb") as source:
                lines = source.readlines()
            running.coordinator.events.put(None)
            alike, differs = recording.replay(lines)
            self.assertIsNone(differs)
            self.assertGreater(alike, 150)
            at = next(n for n, line in enumerate(lines) if line.startswith(b'["decided",["forward"'))
            changed = [*lines[:at], lines[at].replace(b'"w', b'"x'), *lines[at + 1 :]]
            self.assertIn("decided", recording.replay(changed)[1])
            cut_off = [*lines[:-1], lines[-1][:5]]
            self.assertIsNone(recording.replay(cut_off)[1])
            running.gateway.coordinator.end = lambda: None  # ended already

    def test_slow_disk(self):
        """A recording that can't be written as fast stops and says so; nobody waits for it."""
        with (
            tempfile.TemporaryDirectory(prefix="wd-") as folder,
            unittest.mock.patch.object(recording, "MAX_QUEUED", 50),
        ):
            path = os.path.join(folder, "fifo")
            os.mkfifo(path)
            reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
            made = recording.DecisionRecorder(path)
            for at in range(100000):
                made.record_input(float(at), "left", ("x" * 100,))
                if made.broken:
                    break
            self.assertTrue(made.broken)
            os.set_blocking(reader, True)
            got: list[bytes] = []
            drain = threading.Thread(target=lambda: got.extend(iter(lambda: os.read(reader, 1 << 16), b"")))
            drain.start()
            made.close()
            drain.join(LONG)
            os.close(reader)
            lines = b"".join(got).splitlines(keepends=True)
            self.assertEqual(lines[-1], b'["broken off"]\n')
            self.assertEqual(len(list(recording.entries(lines))), len(lines) - 1)


class Logs(unittest.TestCase):
    def test_full_pipe(self):
        """A log pipe that nobody reads costs lines and never an RPC's time."""
        out, into = os.pipe()
        sink = os.fdopen(into, "w")
        with Running(sink=sink) as running:
            for at in range(logs.QUEUED_MOST + 5000):
                running.log.info("filler", at=at, more="x" * 100)
            self.assertTrue(until(lambda: running.scribe.lost > 0))
            client = running.client()
            for at in range(50):
                client.ask(at, time_left_ms=5000)
                self.assertIn("result", client.answer())
            client.close()
            reader = threading.Thread(target=lambda: [None for _ in iter(lambda: os.read(out, 1 << 16), b"")])
            reader.start()
        sink.close()
        reader.join(LONG)
        os.close(out)

    def test_levels(self):
        """(debug, JSON) -> whether call-outs are logged, and how a line looks."""
        for debug, json, words in ((False, False, "event=one worker=w"), (True, True, '"event": "one"')):
            sink = io.StringIO()
            log, scribe = logs.logger(sink, json, debug, gateway="g")
            log.info("one", worker="w")
            log.debug("two", request=1, attempt=0)
            scribe.close()
            self.assertEqual("two" in sink.getvalue(), debug)
            self.assertIn(words, sink.getvalue().replace("gateway=g ", ""))

    def test_keys(self):
        for note, event, keys in (
            (
                "worker w1 ejected for 1500 ms: cut, 3 of 4 bad",
                "worker ejected for 1500 ms: cut, 3 of 4 bad",
                {"worker": "w1"},
            ),
            ("something else", "something else", {}),
        ):
            self.assertEqual(logs.keys(note), (event, keys))


class Stopping(unittest.TestCase):
    def serve(self, folder, play, deadline="20 s"):
        """A gateway as a process, with one worker played here."""
        from tests.rig import CALL_OUTS, TERMS, Peer

        peer = Peer(folder, "w0", play)
        self.addCleanup(peer.close)
        with open(os.path.join(folder, "workers.sexp"), "w") as out:
            out.write(format_endpoints([EndpointRow("w0", peer.path, None, None, 0, 4.0, "ready", 0)]))
        with open(os.path.join(folder, "g.sexp"), "w") as out:
            out.write(
                TERMS.format(soft="500 ms", deadline=deadline, way="100 ms", more="", call_outs=CALL_OUTS, stock="")
            )
        process = subprocess.Popen(
            [sys.executable, "-m", "wickdyke.cli", "serve", os.path.join(folder, "g.sexp")],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.assertEqual(process.stdout.readline().decode(), f"ready {os.path.join(folder, 'g.sock')}\n")
        return process, os.path.join(folder, "g.sock")

    def test_held_is_answered(self):
        """SIGTERM: what is held gets its answer, what comes then is denied, exit 0, no socket left behind."""
        go = threading.Event()

        def slow(sock, number):
            source = lines_of(sock)
            hello(sock, source)
            for asked in source:
                if asked["method"] == "run":
                    go.wait(LONG)
                    sock.sendall(ok(asked["id"]))

        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            process, path = self.serve(folder, slow)
            client = Client(path)
            client.ask(1, "side")
            self.assertTrue(until(lambda: go.is_set() or client.sock is not None))
            time.sleep(0.3)
            process.send_signal(signal.SIGTERM)
            self.assertTrue(until(lambda: not os.path.exists(path)))
            client.ask(2, "side")
            got = client.answer()
            self.assertEqual((got["id"], got["error"]["data"]["why"]), (2, "stopping"))
            go.set()
            got = client.answer()
            self.assertEqual((got["id"], got["result"]["answer"]), (1, "ok"))
            self.assertEqual(process.wait(LONG), 0)
            client.close()

    def test_second_signal(self):
        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            process, path = self.serve(folder, silent, "3600 s")
            client = Client(path)
            client.ask(1, "side")
            time.sleep(0.3)
            process.send_signal(signal.SIGTERM)
            self.assertTrue(until(lambda: not os.path.exists(path)))
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(LONG), 1)
            client.close()

    def test_owned_socket(self):
        """A live owner is left alone; what a killed one left behind is replaced; a file is not touched."""
        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            process, path = self.serve(folder, silent)
            with self.assertRaisesRegex(AddressInUseError, "somebody live"):
                listener(path)
            process.kill()
            process.wait()
            self.assertTrue(os.path.exists(path))
            sock, held = listener(path)
            sock.close()
            held.close()
            plain = os.path.join(folder, "plain")
            with open(plain, "w") as out:
                out.write("x")
            with self.assertRaisesRegex(AddressInUseError, "no socket"):
                listener(plain)
            self.assertTrue(os.path.exists(plain))


if __name__ == "__main__":
    unittest.main()
