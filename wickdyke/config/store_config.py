"""Reads and validates the settings file of a package store."""

import os
from dataclasses import dataclass, replace

from wickdyke.config import address, schema, sexpr
from wickdyke.config.builders import unlocated
from wickdyke.config.schema import Diagnostics, Field, count, record, size, text


@dataclass(slots=True, frozen=True)
class StoreConfig:
    """All settings of a store. `bandwidth` is MB per second of all readers together, `readers` their maximum."""

    listen: str
    folder: str
    bandwidth: float
    readers: int


STORE = record(
    unlocated(StoreConfig),
    listen=Field(address.read),
    folder=Field(text),
    pace=Field(size(0.001), 100.0, parameter="bandwidth"),
    readers=Field(count(1, 10000), 64),
)


def read(path: str) -> StoreConfig:
    """Reads and validates a store's file, `(store ...)`; relative paths in it start from its folder.

    Raises InvalidConfigError with all errors.
    """
    diagnostics = Diagnostics()
    section = schema.read_single(sexpr.read(path), "store", path, STORE, diagnostics)
    config = schema.required(section, diagnostics)
    folder = os.path.dirname(os.path.abspath(path))
    return replace(config, folder=os.path.join(folder, config.folder), listen=address.resolve(config.listen, folder))
