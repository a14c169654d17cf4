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

    def discovery(self):
        return self.close_on_cleanup(rig.Bus())

    def wait_for_event(self, number):
        self.until(lambda: self.service.endpoints.offset >= number, f"event {number}")

    def test_a_new_configuration_while_a_worker_drains(self):
        """The old or the new address reports the drain: no attempt is sent there, and event numbers continue."""
        for source_of_drain in ("old", "new"):
            with self.subTest(source_of_drain):
                old, new, first, second = self.discovery(), self.discovery(), self.worker(), self.worker()
                front_end = self.front_end(first.address, second.address, bus=old.address)
                self.until(lambda old=old: old.offsets == [1])
                drain = rig.event(2, rig.instance("w0", first.address, lifecycle="DRAINING"))
                if source_of_drain == "old":
                    old.event(drain)
                self.write(new.address, first.address, second.address)
                front_end._request_reload(signal.SIGHUP, None)  # pending together with the drain
                self.until(lambda new=new: len(new.offsets) == 1)
                self.assertEqual(new.offsets, [2 if source_of_drain == "old" else 1])
                new.event(drain)
                self.wait_for_event(2)
                client = self.client()
                for index in range(6):
                    client.send(rig.dispatch(index + 1, rig.fields(f"{index:016x}"), b"x"))
                    self.assertEqual(self.answer(client)[1], "answer")
                self.assertEqual((len(first.received(b"invoke")), len(second.received(b"invoke"))), (0, 6))
                self.close_front_end()

    def test_a_full_list_keeps_the_state_of_listed_workers(self):
        """A full list, even if repeated, keeps connections, slow start and state; a restart resets the last two."""
        # The clocks are real: on a busy machine the steps below may take longer than MAX_EVENT_DELAY.
        self.enterContext(patch.object(endpoint_list, "MAX_EVENT_DELAY", rig.TIMEOUT * 1000))
        source, first, second = self.discovery(), self.worker(), self.worker()
        front_end = self.front_end(first.address, second.address, bus=source.address)
        self.until(lambda: source.offsets)
        start = int(time.time() * 1000) - 500
        instance = rig.instance("w1", second.address, startedAtMs=start)
        source.event(rig.event(2, instance))
        self.wait_for_event(2)
        for name in ("w0", "w1"):
            front_end.coordinator.workers.client(name)
        states_before, clients_before = (
            dict(front_end.coordinator.router.workers),
            dict(front_end.coordinator.workers.clients),
        )
        self.assertEqual(set(clients_before), {"w0", "w1"})
        warming_since_before = states_before["w1"].warming_since
        instances = [rig.instance("w0", first.address), instance]
        source.event(rig.event(3, *instances, reset=True))
        source.event(rig.event(3, instances[0], reset=True))  # this number was already applied: no effect
        source.event(rig.event(4, {**instances[0], "lifecycle": "DRAINING"}, instances[1], reset=True))
        self.wait_for_event(4)
        workers = front_end.coordinator.router.workers
        self.assertEqual(
            (workers, front_end.coordinator.workers.clients, workers["w1"].warming_since),
            (states_before, clients_before, warming_since_before),
        )
        self.assertEqual(workers["w0"].endpoint.state, "draining")
        source.event(rig.event(5, instances[0], {**instance, "startedAtMs": start + 400}))  # drain ended, new start
        self.wait_for_event(5)
        self.assertEqual((workers["w0"].endpoint.state, workers["w0"]), ("ready", states_before["w0"]))
        self.assertIsNot(workers["w1"], states_before["w1"])
        self.assertAlmostEqual(workers["w1"].warming_since, warming_since_before + 400, 3)
        self.assertEqual(front_end.coordinator.workers.clients, clients_before)

    def test_a_drain_and_its_end_in_one_read_change_nothing(self):
        source, first = self.discovery(), self.worker()
        front_end = self.front_end(first.address, bus=source.address)
        self.until(lambda: source.offsets)
        entry = rig.instance("w0", first.address)
        states = dict(front_end.coordinator.router.workers)
        source.send_raw(
            "".join(
                f"id: {event['offset']}\ndata: {json.dumps(event)}\n\n"
                for event in (
                    rig.event(2, {**entry, "lifecycle": "DRAINING"}),
                    rig.event(3, {**entry, "lifecycle": "DELETED"}),
                    rig.event(4, entry),
                )
            ).encode()
        )
        self.wait_for_event(4)
        self.assertEqual(front_end.coordinator.router.workers, states)
        self.assertEqual(front_end.coordinator.router.workers["w0"].endpoint.state, "ready")


if __name__ == "__main__":
    unittest.main()
