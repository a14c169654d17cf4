"""Reads and checks packages, which are folders or archives, and packs them.

A package consists of Python code and a manifest (manifest.py). It is checked completely before it is used.
"""

import contextlib
import io
import os
import stat
import zipfile
import zlib

from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.worker import manifest as manifests
from wickdyke.worker.manifest import Manifest, invalid_package
from wickdyke.worker.package_digest import PackageFile, content_digest

MAX_FILES = 10_000  # of one package
MAX_BYTES = 2 << 30  # of one package, unpacked
MAX_SHOWN_NAME_LENGTH = 80  # characters of an archive entry's name in an error message
ENTRY_DATE = (1980, 1, 1, 0, 0, 0)  # of all archive entries, so that equal files give equal archives
FILE_MODE = stat.S_IFREG | 0o644  # of all archive entries
DIGEST_MISMATCH = "as stated in its manifest"  # in the expected value of a diagnostic, by which `pack` finds it
# Raised by zipfile for a damaged or unsupported archive.
UNREADABLE_ARCHIVE_ERRORS = (
    zipfile.BadZipFile,
    zipfile.LargeZipFile,
    zlib.error,
    EOFError,
    NotImplementedError,
    RuntimeError,
    ValueError,
)


def from_folder(path: str) -> tuple[Manifest, list[PackageFile]]:
    """(manifest, other files) of a folder; raises InvalidConfigError."""
    files: list[PackageFile] = []
    total = 0
    if not os.path.isdir(path):
        raise invalid_package(path, "no folder", "a folder with a " + manifests.FILE_NAME)
    for parent, folders, names in os.walk(path):
        folders[:] = sorted(name for name in folders if name != "__pycache__" and not name.startswith("."))
        for name in sorted(names):
            file_path = os.path.join(parent, name)
            if name.startswith(".") or name.endswith(".pyc"):
                continue
            if not stat.S_ISREG(os.lstat(file_path).st_mode):
                raise invalid_package(file_path, "a link or special file", "plain files only")
            with open(file_path, "rb") as source:
                data = source.read(MAX_BYTES + 1)
            total += len(data)
            files.append((os.path.relpath(file_path, path).replace(os.sep, "/"), data))
            _check_limits(path, len(files), total)
    return _split_manifest(path, files)


def from_zip(path: str) -> tuple[Manifest, list[PackageFile]]:
    """(manifest, other files) of an archive, checked by its actual bytes; raises InvalidConfigError."""
    try:
        files = _read_entries(path)
    except UNREADABLE_ARCHIVE_ERRORS as error:
        raise invalid_package(path, f"an archive that can't be read ({error})", "a complete zip archive") from None
    except OSError as error:
        raise invalid_package(path, error.strerror or str(error), "a file that can be read") from None
    manifest, files = _split_manifest(path, files)
    if manifest.digest is None:
        raise invalid_package(path, f"a {manifests.FILE_NAME} without a digest", "one that `wickdyke pack` wrote")
    return manifest, files


def _read_entries(path: str) -> list[PackageFile]:
    files: dict[str, bytes] = {}
    total = 0
    with zipfile.ZipFile(path) as archive:
        for entry in archive.infolist():
            if entry.is_dir():
                continue
            _check_entry(path, entry, files)
            # Limits the decompressed bytes, as the size in the archive's directory may be wrong.
            with archive.open(entry) as source:
                data = source.read(MAX_BYTES - total + 1)
            total += len(data)
            files[entry.filename] = data
            _check_limits(path, len(files), total)
    return list(files.items())


def _check_entry(path: str, entry: zipfile.ZipInfo, files: dict[str, bytes]) -> None:
    label = f"the entry {entry.filename[:MAX_SHOWN_NAME_LENGTH]!r}"
    mode = entry.external_attr >> 16
    if not _is_safe_path(entry.filename):
        raise invalid_package(path, label, "paths that stay inside the package")
    if entry.filename in files:
        raise invalid_package(path, f"{label} twice", "each once")
    if mode and not stat.S_ISREG(mode):
        raise invalid_package(path, f"{label} that is a link or special file", "plain files only")


def _is_safe_path(name: str) -> bool:
    if not name or name.startswith("/") or "\\" in name or "\0" in name:
        return False
    return all(part not in ("", ".", "..") for part in name.split("/"))


def _check_limits(path: str, file_count: int, total: int) -> None:
    if file_count > MAX_FILES or total > MAX_BYTES:
        raise invalid_package(path, f"over {MAX_FILES} files or {MAX_BYTES >> 20} MB", "fewer files and bytes")


def _split_manifest(path: str, files: list[PackageFile]) -> tuple[Manifest, list[PackageFile]]:
    """(manifest, other files); raises InvalidConfigError where they do not match."""
    by_name = dict(files)
    if manifests.FILE_NAME not in by_name:
        raise invalid_package(path, f"no {manifests.FILE_NAME}", "one at the top level")
    manifest = manifests.parse(by_name.pop(manifests.FILE_NAME), os.path.join(path, manifests.FILE_NAME))
    module = manifest.entry.partition(":")[0].replace(".", "/")
    if not {module + ".py", module + "/__init__.py"} & by_name.keys():
        raise invalid_package(path, f"no module for the entry {manifest.entry}", f"{module}.py")
    other_files = list(by_name.items())
    if manifest.digest is not None:
        check_digest(path, manifest, other_files)
    return manifest, other_files


def check_digest(path: str, manifest: Manifest, files: list[PackageFile]) -> None:
    """Raises InvalidConfigError where the files do not have the digest that the manifest states."""
    actual = content_digest(files)
    if actual != manifest.digest:
        raise invalid_package(path, f"contents with the digest {actual}", f"{manifest.digest}, {DIGEST_MISMATCH}")


def pack(folder: str, target: str) -> tuple[Manifest, str]:
    """Writes the archive of a folder as `target`/NAME@VERSION.zip, the same bytes for the same files.

    Returns (manifest, path); raises InvalidConfigError, OSError. A correct digest in the folder's manifest is
    written again, a wrong one is an error.
    """
    try:
        manifest, files = from_folder(folder)
    except InvalidConfigError as error:
        if not any(DIGEST_MISMATCH in diagnostic.expected for diagnostic in error.diagnostics):
            raise
        raise invalid_package(
            folder,
            "a digest in the manifest that does not match the files",
            "none: pack writes it",
            "remove (digest ...)",
        ) from None
    text = manifests.render(manifest, content_digest(files))
    path = os.path.join(target, f"{manifest.name}@{manifest.version}.zip")
    os.makedirs(os.path.dirname(path), exist_ok=True)
    _replace_file(path, _archive([(manifests.FILE_NAME, text.encode()), *files]))
    return manifest, path


def _archive(files: list[PackageFile]) -> memoryview:
    buffer = io.BytesIO()
    with zipfile.ZipFile(buffer, "w", zipfile.ZIP_DEFLATED) as archive:
        for name, data in sorted(files):
            entry = zipfile.ZipInfo(name, ENTRY_DATE)
            entry.external_attr = FILE_MODE << 16
            entry.compress_type = zipfile.ZIP_DEFLATED
            archive.writestr(entry, data)
    return buffer.getbuffer()


def _replace_file(path: str, content: memoryview) -> None:
    """Writes a temporary file and renames it to `path`, so that a failure leaves no incomplete file there."""
    temporary = path + ".new"
    try:
        with open(temporary, "wb") as sink:
            sink.write(content)
            sink.flush()
            os.fsync(sink.fileno())
        os.replace(temporary, path)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(temporary)
        raise
