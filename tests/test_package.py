"""Packages: what is refused, and which version of a package is found."""

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
    """Folders and archives that are refused, and the order of versions."""

    def test_bad_folders(self):
        """(manifest, files beside) -> words of the one trouble."""
        good = MANIFEST.format(name="p", version="1.0", memory=64, lanes=1)
        for text, words in (
            (good.replace('"p"', '"../p"'), ("../p", "letters")),
            (good.replace('"p"', '"/p"'), ("letters",)),
            (good.replace('"p"', '"p/"'), ("letters",)),
            (good.replace("1.0", "one"), ("one", "numbers with dots")),
            (good.replace("main:run", "main"), ("main", "a module and a function")),
            (good.replace("main:run", "other:run"), ("other", "other.py")),
            (good.replace("64 MB", "64"), ("without a unit", "MB")),
            (good.replace("(lanes 1)", "(lanes 0)"), ("0", "1 to 256")),
            (good.replace('"WORD"', '"A=B"'), ("A=B", "without =")),
            (good.replace('(set "WORD" "sea")', '(set "W" "1") (set "W" "2")'), ("second time",)),
            (good.replace("(memory 64 MB)", ""), ("without memory",)),
            (good[:-1] + ' (digest "md5:1"))', ("md5:1", "sha256")),
            (good[:-1] + ' (digest "sha256:' + "0" * 64 + '"))', ("remove (digest ...)",)),
            (good + good, ("a second (package ...)",)),
            ("(package", ("never closed",)),
            ("", ("nothing",)),
            ("\udcff", ("not UTF-8",)),
        ):
            with self.subTest(text=text):
                shutil.rmtree(self.path("f"), ignore_errors=True)
                write_package(self.path("f"))
                with open(self.path("f", "package.sexp"), "w", errors="surrogateescape") as sink:
                    sink.write(text)
                with self.assertRaises(InvalidConfigError) as caught:
                    package.pack(self.path("f"), self.path("store"))
                self.assertEqual(len(caught.exception.diagnostics), 1, caught.exception)
                for word in words:
                    self.assertIn(word, str(caught.exception))
                self.assertFalse(os.path.exists(self.path("store")))

    def test_links(self):
        """A symbolic link in a folder is refused: it would pack files from elsewhere."""
        write_package(self.path("f"))
        os.symlink("/etc/hostname", self.path("f", "more.py"))
        with self.assertRaises(InvalidConfigError) as caught:
            package.pack(self.path("f"), self.path("store"))
        self.assertIn("plain files only", str(caught.exception))

    def test_same_bytes(self):
        """The same files give the same archive, whenever and wherever packed."""
        digests = set()
        for at in range(2):
            write_package(self.path(f"f{at}"))
            os.utime(self.path(f"f{at}", "main.py"), (at * 1e6, at * 1e6))
            digests.add(package_digest.file_digest(package.pack(self.path(f"f{at}"), self.path(f"s{at}"))[1]))
        self.assertEqual(len(digests), 1)

    def archive(self, *entries, digest=None, cut=None):
        """An archive as hostile hands make it: (name, bytes[, mode]) each."""
        held = io.BytesIO()
        with zipfile.ZipFile(held, "w", zipfile.ZIP_DEFLATED) as made:
            for name, data, *mode in entries:
                entry = zipfile.ZipInfo(name)
                entry.external_attr = (mode[0] if mode else 0o100644) << 16
                made.writestr(entry, data)
        with open(self.path("a.zip"), "wb") as sink:
            sink.write(held.getvalue()[:cut])
        return self.path("a.zip")

    def test_bad_archives(self):
        """(entries, bytes kept) -> words of the one trouble."""
        code = b"def run(x): return x\n"
        text = MANIFEST.format(name="p", version="1.0", memory=64, lanes=1)
        right = text[:-1] + f' (digest "{package_digest.content_digest([("main.py", code)])}"))'
        plain = [("package.sexp", right), ("main.py", code)]
        for entries, cut, words in (
            ([*plain, ("../out.py", b"1")], None, ("../out.py", "stay inside")),
            ([*plain, ("/etc/out", b"1")], None, ("/etc/out", "stay inside")),
            ([*plain, ("a/../../b", b"1")], None, ("stay inside",)),
            ([*plain, ("a\\b", b"1")], None, ("stay inside",)),
            ([*plain, ("link", b"/etc/passwd", 0o120777)], None, ("link", "plain files")),
            ([*plain, ("pipe", b"", 0o010644)], None, ("plain files",)),
            ([*plain, ("main.py", code)], None, ("twice",)),
            ([*plain, ("more.py", b"1")], None, ("digest", "as stated in its manifest")),
            ([("package.sexp", right), ("main.py", code + b"#")], None, ("digest",)),
            ([("package.sexp", text), ("main.py", code)], None, ("without a digest",)),
            ([("main.py", code)], None, ("no package.sexp",)),
            (plain, 100, ("complete zip archive",)),
            (plain, -10, ("complete zip archive",)),
            (plain, 0, ("complete zip archive",)),
        ):
            with self.subTest(entries=[name for name, *_ in entries], cut=cut):
                with warnings.catch_warnings():
                    warnings.simplefilter("ignore")
                    path = self.archive(*entries, cut=cut)
                with self.assertRaises(InvalidConfigError) as caught:
                    package.from_zip(path)
                self.assertEqual(len(caught.exception.diagnostics), 1)
                for word in words:
                    self.assertIn(word, str(caught.exception))
        made, files = package.from_zip(self.archive(*plain))
        self.assertEqual((made.name, files), ("p", [("main.py", code)]))

    def test_flipped_bits(self):
        """Whichever byte of an archive is changed: refused, or what comes out is the same."""
        write_package(self.path("f"))
        _, path = package.pack(self.path("f"), self.path("s"))
        with open(path, "rb") as source:
            whole = source.read()
        right = package.from_zip(path)
        for at in range(0, len(whole), 7):
            with open(self.path("b.zip"), "wb") as sink:
                sink.write(whole[:at] + bytes([whole[at] ^ 0x41]) + whole[at + 1 :])
            with contextlib.suppress(InvalidConfigError):
                self.assertEqual(package.from_zip(self.path("b.zip"))[1], right[1], at)

    def test_versions(self):
        """(function) -> the version found in the folder; the newest by numbers where none is named."""
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
