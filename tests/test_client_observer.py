"""When a client counts as present, on a clock that the test sets."""

import unittest
from unittest.mock import Mock, patch

from wickdyke.platform import client_observer
from wickdyke.platform.client_observer import LOOK_INTERVAL, READ_AHEAD_SIZE, ClientObserver
from wickdyke.platform.client_presence import LEASE_TERM
from wickdyke.platform.withdrawals import ClientState

MUCH = READ_AHEAD_SIZE + 1  # unread bytes
LITTLE = READ_AHEAD_SIZE


class Presence(unittest.TestCase):
    """One client whose connection is in the state that the test sets."""

    def setUp(self):
        self.now = 1000.0
        self.enterContext(patch.object(client_observer, "clock", lambda: self.now))
        self.detector = Mock(unread_bytes=0)
        self.connection = Mock(closed=False)
        self.observer = ClientObserver(self.detector)
        self.set_state(ClientState.PRESENT)

    def set_state(self, state, unread_bytes=0):
        """Sets what a look shows from now on."""
        self.detector.state_of.return_value = state
        self.detector.unread_bytes = unread_bytes

    def is_present(self):
        return self.observer.is_present(self.connection)

    def test_an_empty_connection(self):
        for _ in range(5):
            self.assertTrue(self.is_present())
            self.now += 2 * LEASE_TERM

    def test_unread_data_is_no_proof(self):
        """Guards against attempts for a client whose close waits behind its data, however long (issue 65)."""
        self.assertTrue(self.is_present())
        self.set_state(ClientState.UNREAD_DATA, MUCH)
        self.now += LEASE_TERM
        self.assertTrue(self.is_present())
        self.now += 1.0
        self.assertFalse(self.is_present())
        self.now += LOOK_INTERVAL + 1.0
        self.assertFalse(self.is_present())
        self.connection.read_ahead.assert_not_called()

    def test_little_unread_data_is_read_for_the_end_behind_it(self):
        for state, unread_bytes in ((ClientState.UNREAD_DATA, LITTLE), (ClientState.UNKNOWN, 0)):
            for end, expected in ((ClientState.PRESENT, True), (ClientState.MAY_HAVE_WITHDRAWN, False)):
                with self.subTest(state=state, end=end):
                    self.observer = ClientObserver(self.detector)
                    self.set_state(state, unread_bytes)
                    self.connection.read_ahead.side_effect = lambda size, end=end: self.set_state(end)
                    self.assertEqual(self.is_present(), expected)

    def test_a_client_that_closed(self):
        """A close ahead of data that is read to its end, and a connection that its read has ended."""
        self.assertTrue(self.is_present())
        self.set_state(ClientState.MAY_HAVE_WITHDRAWN)

        def read_all():
            self.connection.closed = True

        self.connection.read_all.side_effect = read_all
        self.now += LOOK_INTERVAL + 1.0
        self.assertFalse(self.is_present())

    def test_data_that_was_read_since_the_last_look(self):
        """Guards against a client that is refused for the rest of the interval, although all it sent was read."""
        self.set_state(ClientState.UNREAD_DATA, MUCH)
        self.assertFalse(self.is_present())
        self.now += 1.0
        self.set_state(ClientState.PRESENT)
        self.assertFalse(self.is_present())
        self.observer.lease.data_read(self.now)
        self.assertTrue(self.is_present())


if __name__ == "__main__":
    unittest.main()
