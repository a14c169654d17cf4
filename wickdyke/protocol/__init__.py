"""Framing and messages without I/O: converts bytes to values and back (docs/protocol.md)."""
