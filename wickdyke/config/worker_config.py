"""Reads and validates the settings file of a worker."""

import os
from dataclasses import dataclass

from wickdyke.config import address, schema, sexpr
from wickdyke.config.builders import unlocated
from wickdyke.config.schema import Diagnostics, Field, count, duration, number, record, size, text
from wickdyke.config.sexpr import SourceLocation

DEFAULT_REQUESTS_PER_CORE = 2  # concurrent requests, where the file states no limit


@dataclass(slots=True, frozen=True)
class RampSettings:
    """A slow start: the limit of concurrent requests rises from `start_share` of it to all of it within `duration` ms.

    There is no slow start where `duration` is 0.
    """

    start_share: float = 0.25
    duration: float = 0.0


DEFAULT_RAMP = RampSettings()


@dataclass(slots=True, frozen=True)
class CacheSection:
    """The folder in which packages are cached, and the capacity of the cache in MB."""

    folder: str
    capacity: float


@dataclass(slots=True, frozen=True)
class StoreSection:
    """The source of packages: a folder or the address of a store; the other is None."""

    folder: str | None
    address: str | None


@dataclass(slots=True)
class WorkerConfig:
    """All settings of a worker. Memory and sizes are in MB, times in ms; paths are absolute.

    Packages are read from `store_folder` or `store_address`; the other is None.
    """

    name: str
    listen: str
    store_folder: str | None
    store_address: str | None
    cache_folder: str
    cache_capacity: float
    memory: float
    concurrency: int
    load_concurrency: int
    queue: int
    idle_timeout: float
    run_timeout: float
    stop_timeout: float
    report_interval: float
    ramp: RampSettings
    log_path: str | None
    trace_path: str | None


@dataclass(slots=True, frozen=True)
class WorkerSection:
    """All sections of a worker's file, with paths as written. `WORKER` maps the keys of the file to these fields."""

    location: SourceLocation
    name: str
    listen: str
    store: StoreSection
    cache: CacheSection
    memory: float
    concurrency: int
    load_concurrency: int
    queue: int
    idle_timeout: float
    run_timeout: float
    stop_timeout: float
    report_interval: float
    ramp: RampSettings
    log: str | None
    trace: str | None


RAMP = record(
    unlocated(RampSettings),
    start_share=Field(number(0.001, 1), DEFAULT_RAMP.start_share),
    ramp=Field(duration(), DEFAULT_RAMP.duration, parameter="duration"),
)
STORE = record(
    unlocated(StoreSection),
    folder=Field(text, None),
    service=Field(address.read, None, parameter="address"),
)
CACHE = record(
    unlocated(CacheSection),
    folder=Field(text),
    most=Field(size(1), 1024.0, parameter="capacity"),
)
WORKER = record(
    WorkerSection,
    name=Field(text),
    listen=Field(address.read),
    store=Field(STORE),
    cache=Field(CACHE),
    memory=Field(size(16)),
    calls_at_once=Field(count(1, 4096), DEFAULT_REQUESTS_PER_CORE * (os.cpu_count() or 1), parameter="concurrency"),
    loads_at_once=Field(count(1, 256), 4, parameter="load_concurrency"),
    queue=Field(count(1, 10**6), 200),
    idle_life=Field(duration(10), 30000.0, parameter="idle_timeout"),
    run_time=Field(duration(1), 60000.0, parameter="run_timeout"),
    stop_within=Field(duration(1), 1000.0, parameter="stop_timeout"),
    measure=Field(duration(10), 250.0, parameter="report_interval"),
    ramp=Field(RAMP, DEFAULT_RAMP),
    log=Field(text, None),
    trace=Field(text, None),
)


def read(path: str) -> WorkerConfig:
    """Reads and validates a worker's file; relative paths in it start from its folder.

    Raises InvalidConfigError with all errors.
    """
    diagnostics = Diagnostics()
    section = schema.read_single(sexpr.read(path), "worker", path, WORKER, diagnostics)
    if section is not None and (section.store.folder is None) == (section.store.address is None):
        actual = "neither" if section.store.folder is None else "both"
        expected = "either (folder PATH) or (service ADDRESS)"
        diagnostics.add(section.location, f"(store ...) with {actual}", expected)
    return _from_section(schema.required(section, diagnostics), os.path.dirname(os.path.abspath(path)))


def _from_section(section: WorkerSection, folder: str) -> WorkerConfig:
    """Returns the settings of a validated section, with its paths joined to the folder."""

    def join(path: str | None) -> str | None:
        return None if path is None else os.path.join(folder, path)

    store = section.store
    return WorkerConfig(
        name=section.name,
        listen=address.resolve(section.listen, folder),
        store_folder=join(store.folder),
        store_address=None if store.address is None else address.resolve(store.address, folder),
        cache_folder=os.path.join(folder, section.cache.folder),
        cache_capacity=section.cache.capacity,
        memory=section.memory,
        concurrency=section.concurrency,
        load_concurrency=section.load_concurrency,
        queue=section.queue,
        idle_timeout=section.idle_timeout,
        run_timeout=section.run_timeout,
        stop_timeout=section.stop_timeout,
        report_interval=section.report_interval,
        ramp=section.ramp,
        log_path=join(section.log),
        trace_path=join(section.trace),
    )
