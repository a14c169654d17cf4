"""Fault injection: fake workers, a fake store, load clients, scenarios of faults, and the checker of the five rules.

All observations are made at the sockets: this package uses the wire protocol and the parser of S-expressions, but not
the gateway or its router.
"""
