"""Framing and messages without I/O: bytes are parsed to values and back (docs/protocol.md)."""
