"""Packages: invalid folders and archives, and the version that a store finds."""

import contextlib
import io
import os
import shutil
import unittest
import warnings
import zipfile

from tests.worker_rig import MANIFEST, TemporaryFolderTest, write_package
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.worker import package, package_digest
from wickdyke.worker.source import FolderStore, PackageNotFoundError


class PackageTest(TemporaryFolderTest):
    """Invalid folders and archives, and the order of versions."""

    def test_invalid_folders(self):
        """(manifest) -> words of the only diagnostic."""
        valid = MANIFEST.format(name="p", version="1.0", memory=64, lanes=1)
        for text, words in (
            (valid.replace('"p"', '"../p"'), ("../p", "letters")),
            (valid.replace('"p"', '"/p"'), ("letters",)),
            (valid.replace('"p"', '"p/"'), ("letters",)),
            (valid.replace("1.0", "one"), ("one", "numbers with dots")),
            (valid.replace("main:run", "main"), ("main", "a module and a function")),
            (valid.replace("main:run", "other:run"), ("other", "other.py")),
            (valid.replace("64 MB", "64"), ("without a unit", "MB")),
            (valid.replace("(lanes 1)", "(lanes 0)"), ("0", "1 to 256")),
            (valid.replace('"WORD"', '"A=B"'), ("A=B", "without =")),
            (valid.replace('(set "WORD" "sea")', '(set "W" "1") (set "W" "2")'), ("second time",)),
            (valid.replace("(memory 64 MB)", ""), ("without memory",)),
            (valid[:-1] + ' (digest "md5:1"))', ("md5:1", "sha256")),
            (valid[:-1] + ' (digest "sha256:' + "0" * 64 + '"))', ("remove (digest ...)",)),
            (valid + valid, ("a second (package ...)",)),
            ("(package", ("never closed",)),
            ("", ("nothing",)),
            ("\udcff", ("not UTF-8",)),
        ):
            with self.subTest(text=text):
                shutil.rmtree(self.path("f"), ignore_errors=True)
                write_package(self.path("f"))
                with open(self.path("f", "package.sexp"), "w", errors="surrogateescape") as file:
                    file.write(text)
                with self.assertRaises(InvalidConfigError) as raised:
                    package.pack(self.path("f"), self.path("store"))
                self.assertEqual(len(raised.exception.diagnostics), 1, raised.exception)
                for word in words:
                    self.assertIn(word, str(raised.exception))
                self.assertFalse(os.path.exists(self.path("store")))

    def test_links(self):
        """A symbolic link in a folder is an error: it would add files from outside the folder."""
        write_package(self.path("f"))
        os.symlink("/etc/hostname", self.path("f", "more.py"))
        with self.assertRaises(InvalidConfigError) as raised:
            package.pack(self.path("f"), self.path("store"))
        self.assertIn("plain files only", str(raised.exception))

    def test_same_bytes(self):
        """The same files give the same archive, independent of file times and folders."""
        digests = set()
        for index in range(2):
            write_package(self.path(f"f{index}"))
            os.utime(self.path(f"f{index}", "main.py"), (index * 1e6, index * 1e6))
            digests.add(package_digest.file_digest(package.pack(self.path(f"f{index}"), self.path(f"s{index}"))[1]))
        self.assertEqual(len(digests), 1)

    def archive(self, *entries, digest=None, length=None):
        """Writes an archive of entries (name, bytes[, mode]), without any check, and cuts it to `length` bytes."""
        buffer = io.BytesIO()
        with zipfile.ZipFile(buffer, "w", zipfile.ZIP_DEFLATED) as archive:
            for name, data, *mode in entries:
                entry = zipfile.ZipInfo(name)
                entry.external_attr = (mode[0] if mode else 0o100644) << 16
                archive.writestr(entry, data)
        with open(self.path("a.zip"), "wb") as file:
            file.write(buffer.getvalue()[:length])
        return self.path("a.zip")

    def test_invalid_archives(self):
        """(entries, length to which the archive is cut) -> words of the only diagnostic."""
        code = b"def run(x): return x\n"
        without_digest = MANIFEST.format(name="p", version="1.0", memory=64, lanes=1)
        with_digest = without_digest[:-1] + f' (digest "{package_digest.content_digest([("main.py", code)])}"))'
        valid_entries = [("package.sexp", with_digest), ("main.py", code)]
        for entries, length, words in (
            ([*valid_entries, ("../out.py", b"1")], None, ("../out.py", "stay inside")),
            ([*valid_entries, ("/etc/out", b"1")], None, ("/etc/out", "stay inside")),
            ([*valid_entries, ("a/../../b", b"1")], None, ("stay inside",)),
            ([*valid_entries, ("a\\b", b"1")], None, ("stay inside",)),
            ([*valid_entries, ("link", b"/etc/passwd", 0o120777)], None, ("link", "plain files")),
            ([*valid_entries, ("pipe", b"", 0o010644)], None, ("plain files",)),
            ([*valid_entries, ("main.py", code)], None, ("twice",)),
            ([*valid_entries, ("more.py", b"1")], None, ("digest", "as stated in its manifest")),
            ([("package.sexp", with_digest), ("main.py", code + b"#")], None, ("digest",)),
            ([("package.sexp", without_digest), ("main.py", code)], None, ("without a digest",)),
            ([("main.py", code)], None, ("no package.sexp",)),
            (valid_entries, 100, ("complete zip archive",)),
            (valid_entries, -10, ("complete zip archive",)),
            (valid_entries, 0, ("complete zip archive",)),
        ):
            with self.subTest(entries=[name for name, *_ in entries], length=length):
                with warnings.catch_warnings():
                    warnings.simplefilter("ignore")
                    path = self.archive(*entries, length=length)
                with self.assertRaises(InvalidConfigError) as raised:
                    package.from_zip(path)
                self.assertEqual(len(raised.exception.diagnostics), 1)
                for word in words:
                    self.assertIn(word, str(raised.exception))
        manifest, files = package.from_zip(self.archive(*valid_entries))
        self.assertEqual((manifest.name, files), ("p", [("main.py", code)]))

    def test_changed_bytes(self):
        """An archive with one changed byte is an error, or gives the same files."""
        write_package(self.path("f"))
        _, path = package.pack(self.path("f"), self.path("s"))
        with open(path, "rb") as source:
            content = source.read()
        expected = package.from_zip(path)
        for index in range(0, len(content), 7):
            with open(self.path("b.zip"), "wb") as file:
                file.write(content[:index] + bytes([content[index] ^ 0x41]) + content[index + 1 :])
            with contextlib.suppress(InvalidConfigError):
                self.assertEqual(package.from_zip(self.path("b.zip"))[1], expected[1], index)

    def test_versions(self):
        """(function) -> the version that the store finds; without a version, the one with the highest numbers."""
        for version in ("1.9", "1.10", "1.2.3"):
            write_package(self.path("f" + version), name="a/p", version=version)
            package.pack(self.path("f" + version), self.path("s"))
        store = FolderStore(self.path("s"))
        for program, version in (
            ("a/p", "1.10"),
            ("a/p@1.9", "1.9"),
            ("a/p@1.2.3", "1.2.3"),
            ("a/p@2", None),
            ("a", None),
            ("../s/a/p", None),
            ("a/p@", None),
            ("", None),
            ("a/../a/p", None),
        ):
            with self.subTest(program=program):
                if version is None:
                    self.assertRaises(PackageNotFoundError, store.find, program)
                else:
                    self.assertEqual(store.find(program).version, version)


if __name__ == "__main__":
    unittest.main()
