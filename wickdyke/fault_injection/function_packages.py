"""Builds the packages of the functions that a scenario's requests call on real workers."""

import os
import tempfile

from wickdyke.fault_injection.scenario import RequestClassTraffic, Scenario
from wickdyke.worker import manifest, package

# Loading and running only sleep. The keys of the input are those that the load client sends.
FUNCTION_SOURCE = """import time
time.sleep({load} / 1000)
def run(arguments):
    time.sleep(arguments["work_ms"] / 1000)
    return {{"mark": arguments["mark"]}}
"""


def write_packages(scenario: Scenario, store_folder: str) -> None:
    """Packs every function of the scenario into the folder of a store; raises OSError."""
    with tempfile.TemporaryDirectory(prefix="wd-") as source_folder:
        for request_class in scenario.request_classes:
            for number in range(request_class.function_count):
                _write_source(source_folder, request_class, number)
                package.pack(source_folder, store_folder)


def _write_source(folder: str, request_class: RequestClassTraffic, number: int) -> None:
    with open(os.path.join(folder, "main.py"), "w", encoding="utf-8") as sink:
        sink.write(FUNCTION_SOURCE.format(load=request_class.load_ms))
    with open(os.path.join(folder, manifest.FILE_NAME), "w", encoding="utf-8") as sink:
        sink.write(
            f'(package "{request_class.name}/{number}" (version "1") (entry "main:run")'
            f" (memory {request_class.memory_mb:g} MB) (lanes {request_class.concurrency}))"
        )
