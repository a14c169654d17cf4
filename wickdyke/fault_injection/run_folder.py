"""The folder of one run of a scenario: where its sockets, settings, logs and traces are."""

import os
import shutil


class RunFolder:
    """A folder that is emptied at the start of a run, and the trace files in it."""

    def __init__(self, path: str) -> None:
        """Empty the folder, or make it; raises OSError."""
        self.path = path
        self.trace_files: list[str] = []
        shutil.rmtree(path, ignore_errors=True)
        os.makedirs(path)

    def file(self, name: str) -> str:
        """The path of a file in the folder."""
        return os.path.join(self.path, name)

    def trace_file(self, writer: str) -> str:
        """The path of the trace that a process writes; the trace is then read with the others."""
        path = self.file(f"{writer}.trace")
        if path not in self.trace_files:
            self.trace_files.append(path)
        return path

    def write(self, name: str, text: str) -> str:
        """Write a file and return its path; raises OSError."""
        path = self.file(name)
        with open(path, "w", encoding="utf-8") as sink:
            sink.write(text)
        return path

    def replace(self, name: str, text: str) -> None:
        """Put a new file in place of an old one at once, so that a reader sees one of them whole; raises OSError."""
        os.replace(self.write(f"{os.path.splitext(name)[0]}.new", text), self.file(name))
