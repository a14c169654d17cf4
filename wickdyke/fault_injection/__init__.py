"""Fault injection: fake workers, store and clients, scenarios of faults, and the checker of the five rules.

Everything is observed at the sockets: this package uses the wire protocol and the reader of S-expressions, never the
gateway or its router.
"""
