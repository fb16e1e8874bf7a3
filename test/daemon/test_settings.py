"""Tests of persimmonyard.daemon.settings."""

import tempfile
import tomllib
import unittest
from importlib import resources
from pathlib import Path

from persimmonyard.daemon.settings import load_settings
from persimmonyard.daemon.tokens import hash_token
from persimmonyard.model import ResultCode, UserError

ROOT = Path(__file__).resolve().parent.parent.parent

VALID_SETTINGS = """
process = {name = "control-1", role = "control", zone = "karen-bench"}
http = {port = 8080}
control.address = "127.0.0.1:7000"
control.data_folder = "FOLDER/data"
control.replicas = {control-1 = "127.0.0.1:7000"}
"""

# Replaced text of the valid settings, replacement, key of the error, part of
# its message.
INVALID_SETTINGS = [
    ('name = "control-1"', 'name = ""', "process.name", "unique"),
    ('role = "control"', 'role = "leader"', "process.role", '"entry" or "control"'),
    ('zone = "karen-bench"', 'zone = ""', "process.zone", "availability zone"),
    ("port = 8080", "port = 65536", "http.port", "between 0 and 65535"),
    ("port = 8080", "port = -1", "http.port", "between 0 and 65535"),
    ("port = 8080", 'port = "80"', "http.port", "a whole number, not a string"),
    ("port = 8080", "prt = 1", "http.prt", "known here: headers_s, host, port"),
    ("port = 8080", 'host = "localhost"', "http.host", "numeric IP"),
    ('"127.0.0.1:7000"}', '"127.0.0.1"}', "control.replicas.control-1", "port"),
    ('"127.0.0.1:7000"}', '"127.0.0.1:0"}', "control.replicas.control-1", "1 and"),
    ('"127.0.0.1:7000"}', "7000}", "control.replicas", "a string, not a whole"),
    ('= "127.0.0.1:7000"\n', '= "here:7000"\n', "control.address", "numeric IP"),
    ("{control-1 =", "{control-9 =", "control.replicas", "'control-1'"),
    ('"FOLDER/data"', '""', "control.data_folder", "a folder"),
    ('"FOLDER/data"', '"FOLDER/file"', "control.data_folder", "a folder"),
    ("http =", "limits.connections = 0\nhttp =", "limits.connections", "between 1"),
    ("http =", "limits.wait_s = nan\nhttp =", "limits.wait_s", "between 0"),
    ("http =", "shutdown.drain_s = -1\nhttp =", "shutdown.drain_s", "seconds"),
    ("http =", 'log.level = "loud"\nhttp =', "log.level", '"debug"'),
    ("http =", "retries = 3\nhttp =", "retries", "known here: access, control"),
    (
        "http =",
        'access.operator_token_hashes = ["secret"]\nhttp =',
        "access.operator_token_hashes",
        "SHA-256",
    ),
]


class SettingsTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "file").touch()

    def load(self, text):
        """Load settings from text."""
        path = self.folder / "settings.toml"
        path.write_text(text.replace("FOLDER", str(self.folder)))
        return load_settings(path)

    def test_user_file_overrides_single_keys(self):
        """Guards against a file that must list every key.

        Keys that the file omits keep their defaults.
        """
        settings = self.load(VALID_SETTINGS)
        self.assertEqual(settings.http.port, 8080)
        self.assertEqual(settings.http.host, "127.0.0.1")
        digest = hash_token("t")
        settings = self.load(
            VALID_SETTINGS + f'access.operator_token_hashes = ["{digest}"]'
        )
        self.assertEqual(settings.access.operator_token_hashes, [digest])

    def test_bad_values_name_the_key_and_what_it_accepts(self):
        """Guards against errors that do not say which setting is wrong.

        Each bad value raises an error with the key and the accepted values.
        """
        for old, new, key, part in INVALID_SETTINGS:
            with self.subTest(new), self.assertRaises(UserError) as caught:
                self.load(VALID_SETTINGS.replace(old, new))
            error = caught.exception
            self.assertEqual((error.code, error.field), (ResultCode.BAD_SETTING, key))
            self.assertIn(part, error.message)
            self.assertIn(repr(key), error.message)

    def test_unreadable_files_are_user_errors(self):
        """Guards against a traceback for a missing file or one not in TOML."""
        with self.assertRaises(UserError):
            load_settings(self.folder / "none.toml")
        with self.assertRaises(UserError):
            self.load("x = = 1")


class DocumentationTests(unittest.TestCase):
    def test_every_key_is_documented(self):
        """Guards against settings that are missing from docs/settings.md."""
        text = (ROOT / "docs" / "settings.md").read_text()
        defaults = resources.files("persimmonyard.daemon").joinpath("defaults.toml")
        for section, table in tomllib.loads(defaults.read_text()).items():
            for key in table:
                self.assertIn(f"`{section}.{key}`", text)
