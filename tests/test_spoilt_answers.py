"""Answers of workers whose lengths do not fit: what is served, and what becomes of the other commands."""

import random
import unittest

from tests import platform_rig as rig
from tests.front_end_rig import FrontEndCase
from tests.worker_client_rig import WorkerClientCase
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.platform.answer_reader import AnswerReader

LINES = b"".join(b"MSKU%d,%d.5\r\n" % (number, number) for number in range(12))
FIRST, SPOILT, LAST = b"a" * 16, b"b" * 16, b"c" * 16
UNKNOWN = b"d" * 16
# Pieces of random bodies, which look like the beginning of an answer here and there.
PIECES = (b"\r\n", b"*4\r\n", b"*1\r\n", b"$2\r\n", b"$16\r\n", b"*", b"$", b"row", b"\r", b"\n", UNKNOWN, b"\x00\xff")


def answer(ident, body=LINES, length=None):
    """Encodes an answer, with another length of the body where one is given."""
    return rig.bulk_with_length(len(body) if length is None else length, ident, b"ACK", b"why=w,ahead=0", body)


def read(data, sent=(FIRST, SPOILT, LAST)):
    """Returns the reader after one read of `data`, and what it found; the commands `sent` are open."""
    reader = AnswerReader(())
    return reader, reader.feed(data, sent, ())


class LengthsThatDoNotFit(unittest.TestCase):
    """Each length that a body of lines may arrive with, beside other answers in the same read."""

    def bodies(self, batch):
        return {received.ident: received.result.output for received in batch.answers if received.result}

    def test_an_answer_with_another_length_is_never_served(self):
        """Guards against the truncated answers of issue 51: each wrong length, alone and before another answer."""
        for following in (b"", answer(LAST, b"x\r\ny")):
            for length in range(2 * len(LINES) + 2):
                if length == len(LINES):
                    continue
                with self.subTest(length=length, alone=not following):
                    reader, batch = read(answer(SPOILT, length=length) + following)
                    self.assertEqual(self.bodies(batch), {})
                    self.assertTrue(batch.error or reader.has_partial_answer)

    def test_whole_answers_before_a_spoilt_one_are_served(self):
        """The fault can't be in an answer that the beginning of the next one follows."""
        for length in range(2 * len(LINES) + 2):
            if length != len(LINES):
                with self.subTest(length=length):
                    _, batch = read(answer(FIRST) + answer(SPOILT, length=length) + answer(LAST))
                    self.assertEqual(self.bodies(batch), {FIRST: LINES})

    def test_a_whole_answer_is_served_whatever_begins_behind_it(self):
        """Each case: what follows a whole answer in its read, and whether that shows that the stream is spoilt."""
        for name, rest, spoilt in (
            ("nothing", b"", False),
            ("the beginning of the next answer", answer(LAST)[:9], False),
            ("a second copy", answer(FIRST), False),
            ("an answer that nobody waits for", answer(UNKNOWN), False),
            ("an answer of a status that is not known", rig.bulk(LAST, b"WHAT", b"-", b""), True),
            ("an answer of 3 GB", answer(LAST, b"x", 3 << 30), True),
            ("noise after the id", b"*4\r\n$16\r\n" + LAST + b"\r\n\x00\x01", True),
        ):
            with self.subTest(name):
                _, batch = read(answer(FIRST) + rest)
                self.assertEqual((self.bodies(batch), bool(batch.error)), ({FIRST: LINES}, spoilt))

    def test_an_answer_before_data_that_begins_no_answer_is_not_served(self):
        """The data may be the rest of its body."""
        for rest in (b"\x00noise", b"$3\r\n", b"\r\n", b"*3\r\n", b"*x\r\n", b"*4\r\nrow", b"*4\r\n$1\r\nx\r\n\r\n"):
            with self.subTest(rest):
                _, batch = read(answer(FIRST) + rest)
                self.assertEqual((self.bodies(batch), bool(batch.error)), ({}, True))

    def test_a_body_that_includes_the_whole_next_answer_is_not_served(self):
        """A length that is too large by exactly the next answer brings another request's data."""
        length = len(LINES) + 2 + len(answer(LAST)) - 2
        _, batch = read(answer(SPOILT, length=length) + answer(LAST))
        self.assertEqual((self.bodies(batch), bool(batch.error)), ({}, True))
        _, batch = read(answer(FIRST, answer(LAST)))  # at the beginning of a body it follows nothing
        self.assertEqual(self.bodies(batch), {FIRST: answer(LAST)})
        _, batch = read(answer(FIRST, LINES + answer(UNKNOWN)))
        self.assertEqual(self.bodies(batch), {FIRST: LINES + answer(UNKNOWN)})

    def test_random_bodies_and_lengths(self):
        """A spoilt answer is served only where its read ends within what may be another answer."""
        chance = random.Random(51)
        spoilt_reads = 0
        for _ in range(20_000):
            body = b"".join(chance.choices(PIECES, k=chance.randrange(1, 12)))
            length = chance.randrange(2 * len(body) + 2)
            first, last = chance.random() < 0.5, chance.random() < 0.5
            if length == len(body):
                continue
            data = answer(FIRST) * first + answer(SPOILT, body, length) + answer(LAST) * last
            reader, batch = read(data)
            bodies = self.bodies(batch)
            spoilt_reads += batch.error is not None
            self.assertEqual(bodies.get(FIRST), LINES if first else None, data)
            if SPOILT in bodies:
                self.assertTrue(batch.error is None and reader.has_partial_answer, data)
        self.assertGreater(spoilt_reads, 5000)

    def test_whole_answers_are_served_whatever_their_bodies_and_reads(self):
        """Each answer of random bodies is served unchanged, in reads of any size."""
        chance = random.Random(52)
        for _ in range(1000):
            idents = (FIRST, SPOILT, LAST)
            bodies = {ident: b"".join(chance.choices(PIECES, k=chance.randrange(12))) for ident in idents}
            stream = b"".join(answer(ident, body) for ident, body in bodies.items())
            reader = AnswerReader(())
            size = chance.randrange(1, len(stream) + 1)
            served = {}
            for start in range(0, len(stream), size):
                batch = reader.feed(stream[start : start + size], bodies, ())
                self.assertIsNone(batch.error, stream)
                served |= self.bodies(batch)
            self.assertEqual(served, bodies)


class CommandsOfSpoiltAnswers(WorkerClientCase):
    """What becomes of the commands on a connection with a spoilt answer."""

    def answers_together(self, commands, data, pool_capacity=20):
        """Sends commands, answers them with `data` in one write, and returns the outcome of each by its id."""
        self.recorded.clear()
        received = []
        client = self.make_client(
            lambda worker, sock, parts: (
                received.append(sock),
                len(received) == len(commands) and sock.sendall(data),
            )
        )
        self.pool.capacity = pool_capacity
        for command in commands:
            client.send(command)
        outcomes = dict(self.outcomes(len(commands)))
        self.assertEqual(self.pool.used, 0)
        return outcomes

    def test_attempts_on_a_shared_connection(self):
        """The answer before the spoilt one is served; the others may have run, and end as errors at once."""
        for length in (LINES.index(b"\r\n"), 0, len(LINES) + 2 + len(b"*4")):
            with self.subTest(length):
                outcomes = self.answers_together(
                    [self.command(FIRST), self.command(SPOILT), self.command(LAST)],
                    answer(FIRST) + answer(SPOILT, length=length) + answer(LAST),
                    pool_capacity=1,
                )
                self.assertEqual(outcomes, {FIRST: "ok", SPOILT: "error", LAST: "error"})
                self.assertEqual(self.pool.counts["invalid_answers"], 1)

    def test_prewarms_and_health_checks(self):
        """A number of replicas or a load report is not used where the same read shows that the stream is spoilt."""
        for kind, status, fields, outcome in (
            (CommandKind.PREWARM, b"ACK", b"units=2", "timeout"),
            (CommandKind.HEALTH_CHECK, b"READY", b"rep=inflight:2;util:0.25", "error"),
        ):
            with self.subTest(kind):
                data = rig.bulk(b"t1", status, fields, b"") + b"2\r\n"
                self.assertEqual(self.answers_together([self.command(b"t1", kind)], data), {b"t1": outcome})
                self.assertEqual([event[4] for event in self.recorded], [None])


class RequestsOfSpoiltAnswers(FrontEndCase):
    """What clients get where the answer to their request arrives truncated."""

    def truncating_worker(self, times):
        """Returns a worker whose first answers to attempts, that many, have a length that ends at a line."""
        attempts = []

        def handle(worker, sock, parts):
            if parts[0] != b"invoke":
                return False
            attempts.append(parts)
            length = LINES.index(b"\r\n") if len(attempts) <= times else None
            sock.sendall(answer(parts[1], length=length))
            return True

        return self.close_on_cleanup(rig.Worker(handle)), attempts

    def test_the_request_is_repeated_only_where_its_class_allows_that(self):
        """It has run: an idempotent request is repeated and served whole, another has failed, and at once."""
        for name, word, body, count in (("look", "answer", LINES, 2), ("pay", "fault", None, 1)):
            with self.subTest(name):
                worker, attempts = self.truncating_worker(1)
                self.front_end(worker.address)
                self.discovery_heard()
                client = self.client()
                client.send(rig.dispatch(1, rig.fields(name=name)))
                number, given_word, given_body = self.answer(client)
                self.assertEqual((number, given_word, len(attempts)), (1, word, count))
                if body is not None:
                    self.assertEqual(given_body, body)
                self.close_front_end()


if __name__ == "__main__":
    unittest.main()
