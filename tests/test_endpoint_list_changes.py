"""The endpoint list changes while workers drain and requests run."""

import json
import signal
import time
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.front_end_rig import FrontEndCase
from wickdyke.platform import endpoint_list


class EndpointListChanges(FrontEndCase):
    """Changes of the endpoint list while workers drain."""

    def lists(self):
        return self.made(rig.Bus())

    def await_event(self, number):
        self.until(lambda: self.serving.endpoints.offset >= number, f"event {number}")

    def test_a_new_configuration_while_a_worker_drains(self):
        """(where the drain is told) -> nothing goes there, and the numbers go on at the new address."""
        for where in ("old", "new"):
            with self.subTest(where):
                old, new, one, two = self.lists(), self.lists(), self.worker(), self.worker()
                serving = self.front_end(one.address, two.address, bus=old.address)
                self.until(lambda old=old: old.offsets == [1])
                drains = rig.event(2, rig.instance("w0", one.address, lifecycle="DRAINING"))
                if where == "old":
                    old.event(drains)
                self.write(new.address, one.address, two.address)
                serving._request_reload(signal.SIGHUP, None)  # both are there before the next iteration
                self.until(lambda new=new: len(new.offsets) == 1)
                self.assertEqual(new.offsets, [2 if where == "old" else 1])
                new.event(drains)
                self.await_event(2)
                client = self.client()
                for at in range(6):
                    client.send(rig.dispatch(at + 1, rig.fields(f"{at:016x}"), b"x"))
                    self.assertEqual(self.answer(client)[1], "answer")
                self.assertEqual((len(one.received(b"invoke")), len(two.received(b"invoke"))), (0, 6))
                self.end()

    def test_a_whole_list_keeps_who_stays(self):
        """Connections, slow start and state of a worker outlast a full list, late or twice; a restart ends them."""
        # Real clocks: on a busy machine the steps below may take longer than an event may be late.
        self.enterContext(patch.object(endpoint_list, "MAX_EVENT_DELAY", rig.LONG * 1000))
        source, one, two = self.lists(), self.worker(), self.worker()
        serving = self.front_end(one.address, two.address, bus=source.address)
        self.until(lambda: source.offsets)
        start = int(time.time() * 1000) - 500
        here = rig.instance("w1", two.address, startedAtMs=start)
        source.event(rig.event(2, here))
        self.await_event(2)
        for name in ("w0", "w1"):
            serving.coordinator.workers.client(name)
        books, links = dict(serving.coordinator.router.workers), dict(serving.coordinator.workers.clients)
        self.assertEqual(set(links), {"w0", "w1"})
        cold = books["w1"].warming_since
        both = [rig.instance("w0", one.address), here]
        source.event(rig.event(3, *both, reset=True))
        source.event(rig.event(3, both[0], reset=True))  # the number came before: it changes nothing
        source.event(rig.event(4, {**both[0], "lifecycle": "DRAINING"}, both[1], reset=True))
        self.await_event(4)
        workers = serving.coordinator.router.workers
        self.assertEqual(
            (workers, serving.coordinator.workers.clients, workers["w1"].warming_since), (books, links, cold)
        )
        self.assertEqual(workers["w0"].endpoint.state, "draining")
        source.event(rig.event(5, both[0], {**here, "startedAtMs": start + 400}))  # drain over; another start
        self.await_event(5)
        self.assertEqual((workers["w0"].endpoint.state, workers["w0"]), ("ready", books["w0"]))
        self.assertIsNot(workers["w1"], books["w1"])
        self.assertAlmostEqual(workers["w1"].warming_since, cold + 400, 3)
        self.assertEqual(serving.coordinator.workers.clients, links)

    def test_a_drain_and_its_end_at_once_is_no_change(self):
        source, one = self.lists(), self.worker()
        serving = self.front_end(one.address, bus=source.address)
        self.until(lambda: source.offsets)
        row = rig.instance("w0", one.address)
        before = dict(serving.coordinator.router.workers)
        source.send_raw(
            "".join(
                f"id: {told['offset']}\ndata: {json.dumps(told)}\n\n"
                for told in (
                    rig.event(2, {**row, "lifecycle": "DRAINING"}),
                    rig.event(3, {**row, "lifecycle": "DELETED"}),
                    rig.event(4, row),
                )
            ).encode()
        )
        self.await_event(4)
        self.assertEqual(serving.coordinator.router.workers, before)
        self.assertEqual(serving.coordinator.router.workers["w0"].endpoint.state, "ready")


if __name__ == "__main__":
    unittest.main()
