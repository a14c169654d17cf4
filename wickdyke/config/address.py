"""Addresses to listen on or connect to: the path of a Unix socket, or a loopback address with its port."""

import ipaddress
import os
import socket

from wickdyke.config import schema
from wickdyke.config.schema import Diagnostics
from wickdyke.config.sexpr import Expression

MAX_PATH_BYTES = 107  # of the path of a Unix socket on Linux (sockaddr_un)
MAX_PORT = 65535

SocketAddress = str | tuple[str, int]  # a path, or a host and a port


class InvalidAddressError(ValueError):
    """A text is not a valid address; the message of the exception states what was expected."""


def parse(address: str) -> tuple[socket.AddressFamily, SocketAddress]:
    """Returns the address family and the argument for `socket.connect`. Raises InvalidAddressError."""
    host, colon, port = address.rpartition(":")
    if "/" in address or not colon:
        if len(os.fsencode(address)) > MAX_PATH_BYTES:
            raise InvalidAddressError(f"a Unix socket's path of at most {MAX_PATH_BYTES} bytes")
        return socket.AF_UNIX, address
    if not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise InvalidAddressError(f"a port of 0 to {MAX_PORT} after the colon")
    if host == "localhost":
        return socket.AF_INET, ("127.0.0.1", int(port))
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        expected = "a Unix socket's path (with a /) or a loopback address with its port"
        raise InvalidAddressError(expected) from None
    if not ip.is_loopback:
        raise InvalidAddressError("a loopback address: wickdyke accepts connections from this machine only")
    return (socket.AF_INET6 if ip.version == 6 else socket.AF_INET), (str(ip), int(port))


def resolve(address: str, folder: str) -> str:
    """Returns an address from a file in that folder: a relative path of a Unix socket is joined to the folder."""
    return address if ":" in address and "/" not in address else os.path.join(folder, address)


def read(expression: Expression, diagnostics: Diagnostics) -> str | None:
    """Reads an address in a settings file; returns None and reports an error where it is invalid."""
    address = schema.text(expression, diagnostics)
    if address is None:
        return None
    try:
        parse(address)
    except InvalidAddressError as error:
        item = expression.items[0]
        diagnostics.add(item.location, schema.describe(item), str(error))
        return None
    return address


def connect(address: str, timeout: float) -> socket.socket:
    """Returns a blocking socket that was connected within `timeout` ms. Raises OSError or InvalidAddressError."""
    family, destination = parse(address)
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout / 1000)
        sock.connect(destination)
        sock.settimeout(None)
        if family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except BaseException:
        sock.close()
        raise
    return sock
