"""Tests of the subcommands, on a fake entry."""

import json
import tempfile
import unittest
from pathlib import Path

from persimmonyard.cli.exit_codes import exit_status
from persimmonyard.cli.fleet_file import parse_shape, read_fleet_file
from persimmonyard.daemon.tokens import hash_token
from persimmonyard.model import ResultCode, UserError
from test.cli.fakes import CliCase, error

ROOT = Path(__file__).resolve().parent.parent.parent
CONFIGURATION = (
    200,
    {
        "version": 7,
        "zone_by_name": {},
        "class_by_name": {"fit": {"name": "fit", "within_s": 900.0}},
        "client_account_by_name": {
            "clinic": {
                "name": "clinic",
                "token_hashes": ["a" * 64],
                "role": "client",
                "guarantee": [],
                "max_waiting": 10,
                "max_accelerators": None,
            }
        },
    },
)
APPLIED = (200, {"version": 8, "in_force": True})


def view(ended=True, code=0, not_run=False):
    """Return the answer with the state of a request."""
    body = {"request": "r-1", "state": "finished", "ended": ended, "answers": []}
    if code:
        body |= {
            "code": code,
            "name": ResultCode(code).name,
            "message": "",
            "not_run": not_run,
        }
    return (200, body)


class OperatorCommandTests(CliCase):
    def test_fleet_file_becomes_changes(self):
        """A TOML fleet file is sent as changes with the expected version."""
        text = "[zones.z]\n[classes.fit]\nwithin_s = 5.0\n[accounts.a]\n"
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "fleet.toml"
            path.write_text('remove = ["class/old"]\n' + text)
            self.entry.answers = [APPLIED]
            status, output, _ = self.cli(
                "apply", str(path), "--wait", "--expected-version", "7"
            )
        body = self.entry.calls[0][1]
        self.assertEqual(
            body["changes"],
            [
                {"zone": {"name": "z"}},
                {"work_class": {"name": "fit", "within_s": 5.0}},
                {"client_account": {"name": "a"}},
                {"remove": "class/old"},
            ],
        )
        self.assertEqual((body["expected_version"], body["wait_s"] > 0), (7, True))
        self.assertEqual((status, output), (0, "version 8 is in force everywhere\n"))

    def test_account_set_keeps_what_is_not_given(self):
        """A new guarantee leaves token hashes, and races are conflicts."""
        self.entry.answers = [CONFIGURATION, APPLIED]
        shape = "gang=4,accelerators=2,adjacency=rack"
        self.cli("account", "set", "clinic", "--guarantee", shape)
        body = self.entry.calls[1][1]
        account = body["changes"][0]["client_account"]
        self.assertEqual(account["token_hashes"], ["a" * 64])
        self.assertEqual(
            account["guarantee"], [{"gang": 4, "accelerators": 2, "adjacency": "rack"}]
        )
        self.assertEqual(body["expected_version"], 7)

    def test_lists_are_tables_or_json(self):
        """Lists print columns, and the same data with --json."""
        self.entry.answers = [CONFIGURATION]
        _, text, _ = self.cli("class", "list")
        self.assertIn("within 900 s", text)
        _, text, _ = self.cli("--json", "account", "list")
        self.assertEqual(json.loads(text)[0]["name"], "clinic")

    def test_status_shows_upstreams(self):
        """The table has one line for each upstream."""
        upstream = {
            "upstream": "up-1",
            "zone": "z",
            "rack": "r",
            "status": "up",
            "requests": 2,
        }
        body = {
            "configuration_version": 7,
            "requests": {"started": 2},
            "upstreams": [upstream],
        }
        self.entry.answers = [(200, body)]
        _, text, _ = self.cli("status")
        self.assertIn("requests: 2 started", text)
        self.assertIn("up-1      z     r     up      2", text)

    def test_dump_asks_the_named_process(self):
        """A control process serves its dump on another path."""
        self.entry.answers = [
            error(109, "UNKNOWN_PATH", status=404),
            (200, {"process": "control-1"}),
        ]
        status, text, _ = self.cli("dump", self.entry.url)
        self.assertEqual((status, text), (0, "process: control-1\n"))
        status, _, line = self.cli("dump", "control-9")
        self.assertEqual(status, 5)
        self.assertIn("control-9", line)


class CallerCommandTests(CliCase):
    def test_explain_shows_what_was_preempted(self):
        """A caller sees what gave way, and no other account's request."""
        victim = {
            "request": None,
            "class": "bulk",
            "upstreams": ["up-1"],
            "reason": "preempted for request r-1",
        }
        body = {"request": "r-1", "state": "started", "preempted_for_it": [victim]}
        self.entry.answers = [(200, body)]
        _, text, _ = self.cli("explain", "r-1")
        self.assertIn("of another client account  bulk   up-1", text)

    def test_exit_status_tells_the_outcome(self):
        """Scripts can tell answers, refusals and unknown outcomes apart."""
        for code, not_run, status in (
            (0, False, 0),
            (500, True, 6),
            (502, True, 6),
            (503, False, 7),
            (505, False, 8),
        ):
            self.entry.answers = [view(True, code, not_run)]
            found, _, _ = self.cli("wait", "r-1", "--wait-s", "0")
            self.assertEqual(found, status, code)
        self.entry.answers = [view(False)]
        self.assertEqual(self.cli("wait", "r-1", "--wait-s", "0")[0], 11)
        self.entry.answers = [view(True, 500, True)]
        self.assertEqual(self.cli("cancel", "r-1")[0], 0)

    def test_wait_goes_on_past_the_limit_of_one_call(self):
        """An entry's bound on one wait does not end the command."""
        self.entry.answers = [view(False), view(False), view(True)]
        status, _, _ = self.cli("wait", "r-1", "--wait-s", "600")
        self.assertEqual((status, len(self.entry.calls)), (0, 3))

    def test_payload_from_a_file(self):
        """A payload file is sent as it is."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "scan"
            path.write_bytes(b"\x00\xff")
            self.entry.answers = [view(False)]
            self.cli(
                "submit", "--class", "c", "--key", "k", "--run-s", "1",
                "--payload-file", str(path),
            )  # fmt: skip
        self.assertEqual(self.entry.calls[0][1]["payload"], "AP8=")


class LocalCommandTests(CliCase):
    def test_hash_matches_what_the_daemon_compares(self):
        """A printed hash lets its token in."""
        _, text, _ = self.cli("--json", "hash-token", stdin="secret\n")
        self.assertEqual(json.loads(text)["hash"], hash_token("secret"))
        _, text, _ = self.cli("--json", "hash-token", "--new")
        made = json.loads(text)
        self.assertEqual(made["hash"], hash_token(made["token"]))

    def test_settings_file_is_checked(self):
        """A mistake in a daemon's settings is one line and status 2."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.toml"
            path.write_text("[http]\nport = -1\n")
            status, _, line = self.cli("check-settings", str(path))
        self.assertEqual(status, 2)
        self.assertIn("'http.port' must be between 0 and 65535", line)
        self.assertEqual(line.count("\n"), 1)

    def test_later_layers_win(self):
        """File, environment and options override each other in this order."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "cli.toml"
            path.write_text(f'urls = ["{self.entry.url}"]\noperator_token = "file"\n')
            self.entry.answers = [APPLIED]
            known = {"PERSIMMONYARD_CONFIG": str(path)}
            call = ("zone", "in", "z")
            self.cli(*call, url=False, environment=known)
            known["PERSIMMONYARD_OPERATOR_TOKEN"] = "environment"
            self.cli(*call, url=False, environment=known)
            option = ("--operator-token", "option")
            self.cli(*option, *call, url=False, environment=known)
            path.write_text("colour = 1\n")
            status, _, line = self.cli(*call, url=False, environment=known)
        tokens = [call[2]["Authorization"] for call in self.entry.calls]
        self.assertEqual(tokens, ["Bearer file", "Bearer environment", "Bearer option"])
        self.assertEqual(status, 2)
        self.assertIn("'colour' is unknown", line)


class FleetFileTests(unittest.TestCase):
    def test_mistakes_are_named(self):
        """A misspelt section or shape field is not silently left out."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "fleet.toml"
            path.write_text("[zone.z]\n")
            with self.assertRaisesRegex(UserError, "section 'zone' is unknown"):
                read_fleet_file(path)
        with self.assertRaisesRegex(UserError, "'weight' is unknown"):
            parse_shape("gang=1,weight=2")


class DocumentationTests(unittest.TestCase):
    def test_every_result_code_is_documented(self):
        """docs/result-codes.md has number, name and exit status of each."""
        text = (ROOT / "docs" / "result-codes.md").read_text()
        for code in ResultCode:
            found = None
            for line in text.splitlines():
                if line.startswith(f"| {int(code)} | {code.name} |"):
                    found = line
            self.assertIsNotNone(found, code)
            cells = [cell.strip() for cell in found.split("|")]
            self.assertEqual(cells[5], str(exit_status(code)), found)
