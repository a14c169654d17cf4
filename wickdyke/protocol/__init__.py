"""Framing and messages without I/O: bytes in, values out, and back (docs/protocol.md)."""
