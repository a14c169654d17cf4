"""The folder of one run of a scenario, with its sockets, settings, logs and traces."""

import os
import shutil


class RunFolder:
    """A folder that is emptied at the start of a run, and the trace files in it."""

    def __init__(self, path: str) -> None:
        """Empties the folder, or creates it; raises OSError."""
        self.path = path
        self.trace_files: list[str] = []
        shutil.rmtree(path, ignore_errors=True)
        os.makedirs(path)

    def file(self, name: str) -> str:
        """Returns the path of a file in the folder."""
        return os.path.join(self.path, name)

    def trace_file(self, writer: str) -> str:
        """Returns the path for the trace of a process, and adds it to `trace_files`."""
        path = self.file(f"{writer}.trace")
        if path not in self.trace_files:
            self.trace_files.append(path)
        return path

    def write(self, name: str, text: str) -> str:
        """Writes a file and returns its path; raises OSError."""
        path = self.file(name)
        with open(path, "w", encoding="utf-8") as sink:
            sink.write(text)
        return path

    def replace(self, name: str, text: str) -> None:
        """Replaces a file atomically, so that readers see either the old or the new one whole; raises OSError."""
        os.replace(self.write(f"{os.path.splitext(name)[0]}.new", text), self.file(name))
