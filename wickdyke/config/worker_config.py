"""The settings file of a worker, as checked values."""

import os
from dataclasses import dataclass

from wickdyke.config import address, schema, sexpr
from wickdyke.config.schema import Diagnostics, Field, count, number, record, size, span, text
from wickdyke.config.sexpr import SourceLocation
from wickdyke.worker.ramp import Ramp


@dataclass(slots=True)
class WorkerConfig:
    """All that a worker's file states. Memory is MB, times are ms."""

    name: str
    listen: str
    folder: str | None
    service: str | None
    cache: str
    cache_most: float
    memory: float
    calls_at_once: int
    loads_at_once: int
    queue: int
    idle_life: float
    run_time: float
    stop_within: float
    measure: float
    ramp: Ramp
    log: str | None
    trace: str | None
    location: SourceLocation


RAMP = record(
    lambda location, **values: Ramp(**values), start_share=Field(number(0.001, 1), 0.25), ramp=Field(span(), 0.0)
)
STORE = record(
    lambda location, **values: (location, values), folder=Field(text, None), service=Field(address.read, None)
)
CACHE = record(lambda location, **values: values, folder=Field(text), most=Field(size(1), 1024.0))


def _workshop(store: tuple, cache: dict, **values) -> WorkerConfig:
    return WorkerConfig(
        folder=store[1]["folder"],
        service=store[1]["service"],
        cache=cache["folder"],
        cache_most=cache["most"],
        **values,
    )


WORKSHOP = record(
    _workshop,
    name=Field(text),
    listen=Field(address.read),
    store=Field(STORE),
    cache=Field(CACHE),
    memory=Field(size(16)),
    calls_at_once=Field(count(1, 4096), 2 * (os.cpu_count() or 1)),
    loads_at_once=Field(count(1, 256), 4),
    queue=Field(count(1, 10**6), 200),
    idle_life=Field(span(10), 30000.0),
    run_time=Field(span(1), 60000.0),
    stop_within=Field(span(1), 1000.0),
    measure=Field(span(10), 250.0),
    ramp=Field(RAMP, Ramp()),
    log=Field(text, None),
    trace=Field(text, None),
)


@dataclass(slots=True)
class StoreConfig:
    """All that a store's file states. `pace` is MB a second for all readers together."""

    listen: str
    folder: str
    pace: float
    readers: int


DEPOT = record(
    lambda location, **values: StoreConfig(**values),
    listen=Field(address.read),
    folder=Field(text),
    pace=Field(size(0.001), 100.0),
    readers=Field(count(1, 10000), 64),
)


def read_store_config(path: str) -> StoreConfig:
    """Reads and checks a store's file, `(store ...)`; its paths are relative to where it stands."""
    notes = Diagnostics()
    form = schema.single_expression(sexpr.read(path), "store", path, notes)
    made = DEPOT(form, notes) if form is not None else None
    notes.raise_if_any()
    base = os.path.dirname(os.path.abspath(path))
    made.folder, made.listen = os.path.join(base, made.folder), address.beside(made.listen, base)
    return made


def read(path: str) -> WorkerConfig:
    """Reads and checks a file; its paths are relative to where it stands. Raises Unusable with all that is wrong."""
    notes = Diagnostics()
    form = schema.single_expression(sexpr.read(path), "worker", path, notes)
    made = WORKSHOP(form, notes) if form is not None else None
    if made is not None and (made.folder is None) == (made.service is None):
        notes.add(
            made.location,
            "(store ...) with " + ("neither" if made.folder is None else "both"),
            "either (folder PATH) or (service ADDRESS)",
        )
    notes.raise_if_any()
    base = os.path.dirname(os.path.abspath(path))
    made.cache = os.path.join(base, made.cache)
    made.folder = made.folder and os.path.join(base, made.folder)
    made.log, made.trace = (each and os.path.join(base, each) for each in (made.log, made.trace))
    made.listen, made.service = (each and address.beside(each, base) for each in (made.listen, made.service))
    return made
