"""Addresses a part may listen on or connect to: a Unix socket's path, or a loopback address with its port."""

import ipaddress
import os
import socket

from wickdyke.config.schema import Diagnostics
from wickdyke.config.schema import text as read_text
from wickdyke.config.sexpr import Expression

PATH_MOST = 107  # bytes of a Unix socket's path that Linux takes (sockaddr_un)


def parse(address: str) -> tuple[int, object]:
    """(family, what connect takes) of an address; raises ValueError with what was expected."""
    host, colon, port = address.rpartition(":")
    if "/" in address or not colon:
        if len(os.fsencode(address)) > PATH_MOST:
            raise ValueError(f"a Unix socket's path of at most {PATH_MOST} bytes")
        return socket.AF_UNIX, address
    if not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ValueError("a port of 0 to 65535 after the colon")
    if host == "localhost":
        return socket.AF_INET, ("127.0.0.1", int(port))
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("a Unix socket's path (with a /) or a loopback address with its port") from None
    if not ip.is_loopback:
        raise ValueError("a loopback address: wickdyke listens on this machine only")
    return (socket.AF_INET6 if ip.version == 6 else socket.AF_INET), (str(ip), int(port))


def beside(address: str, folder: str) -> str:
    """An address as stated in a file of that folder: a socket's path hangs on it, a loopback address does not."""
    return address if ":" in address and "/" not in address else os.path.join(folder, address)


def read(form: Expression, notes: Diagnostics) -> str | None:
    """Reads one address of a settings file."""
    address = read_text(form, notes)
    if address is None:
        return None
    try:
        parse(address)
    except ValueError as bad:
        notes.add(form.items[0].location, form.items[0].text, str(bad))
        return None
    return address


def connect(address: str, within: float) -> socket.socket:
    """A blocking connection, made within so many ms; raises OSError."""
    family, where = parse(address)
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.settimeout(within / 1000)
        sock.connect(where)
        sock.settimeout(None)
        if family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except BaseException:
        sock.close()
        raise
    return sock
