"""Tests of the commands against a fake entry server."""

import json
import tempfile
import unittest
from pathlib import Path

from persimmonyard.cli.exit_codes import exit_status
from persimmonyard.cli.fleet_file import parse_shape, read_fleet_file
from persimmonyard.daemon.tokens import hash_token
from persimmonyard.model import ResultCode, UserError
from test.cli.fakes import CliTestCase, error_response

ROOT = Path(__file__).resolve().parent.parent.parent
CONFIGURATION_RESPONSE = (
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
APPLIED_RESPONSE = (200, {"version": 8, "in_force": True})


def request_response(ended=True, code=0, not_run=False):
    """Return a response with the state of a request."""
    body = {"request": "r-1", "state": "finished", "ended": ended, "answers": []}
    if code:
        body |= {
            "code": code,
            "name": ResultCode(code).name,
            "message": "",
            "not_run": not_run,
        }
    return (200, body)


class OperatorCommandTests(CliTestCase):
    def test_fleet_file_is_sent_as_changes(self):
        """Guards against wrong changes from a TOML fleet file.

        All sections must be sent as changes in one call, with the expected
        version and a wait.
        """
        text = "[zones.z]\n[classes.fit]\nwithin_s = 5.0\n[accounts.a]\n"
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "fleet.toml"
            path.write_text('remove = ["class/old"]\n' + text)
            self.entry.responses = [APPLIED_RESPONSE]
            status, output, _ = self.run_cli(
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

    def test_account_set_keeps_omitted_fields(self):
        """Guards against an update that resets the rest of an account.

        The command sends the whole account, so it must keep the token hashes
        that it read.  It must expect the version that it read, so that a
        concurrent change is a conflict and is not overwritten.
        """
        self.entry.responses = [CONFIGURATION_RESPONSE, APPLIED_RESPONSE]
        shape = "gang=4,accelerators=2,adjacency=rack"
        self.run_cli("account", "set", "clinic", "--guarantee", shape)
        body = self.entry.calls[1][1]
        account = body["changes"][0]["client_account"]
        self.assertEqual(account["token_hashes"], ["a" * 64])
        self.assertEqual(
            account["guarantee"], [{"gang": 4, "accelerators": 2, "adjacency": "rack"}]
        )
        self.assertEqual(body["expected_version"], 7)

    def test_lists_print_as_tables_or_json(self):
        """Guards against lists that ignore ``--json`` or have no columns."""
        self.entry.responses = [CONFIGURATION_RESPONSE]
        _, text, _ = self.run_cli("class", "list")
        self.assertIn("within 900 s", text)
        _, text, _ = self.run_cli("--json", "account", "list")
        self.assertEqual(json.loads(text)[0]["name"], "clinic")

    def test_status_shows_upstreams(self):
        """Guards against a status without its upstreams or request counts."""
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
        self.entry.responses = [(200, body)]
        _, text, _ = self.run_cli("status")
        self.assertIn("requests: 2 started", text)
        self.assertIn("up-1      z     r     up      2", text)

    def test_dump_falls_back_to_the_path_of_control_processes(self):
        """Guards against a dump command that works only for entries.

        A control process serves its dump at another path, so the command must
        go on after the first path is unknown.  A process name without a URL
        is an error that names the process.
        """
        self.entry.responses = [
            error_response(109, "UNKNOWN_PATH", status=404),
            (200, {"process": "control-1"}),
        ]
        status, text, _ = self.run_cli("dump", self.entry.url)
        self.assertEqual((status, text), (0, "process: control-1\n"))
        status, _, error_line = self.run_cli("dump", "control-9")
        self.assertEqual(status, 5)
        self.assertIn("control-9", error_line)


class CallerCommandTests(CliTestCase):
    def test_explain_hides_requests_of_other_accounts(self):
        """Guards against a disclosure of another account's request.

        A caller must see which runs were preempted for its request, but no
        identifiers of requests of other client accounts.
        """
        victim = {
            "request": None,
            "class": "bulk",
            "upstreams": ["up-1"],
            "reason": "preempted for request r-1",
        }
        body = {"request": "r-1", "state": "started", "preempted_for_it": [victim]}
        self.entry.responses = [(200, body)]
        _, text, _ = self.run_cli("explain", "r-1")
        self.assertIn("of another client account  bulk   up-1", text)

    def test_where_shows_seats_waits_and_rejected_upstreams(self):
        """Guards against a call that submits the job, and hidden reasons."""
        seat = {"task": 0, "upstream": "u1", "zone": "z1", "rack": "r1"}
        placed = {"unit": "task 0.0.0", "seats": [seat], "seats_omitted": 0}
        placed |= {"waits": "", "detail": "", "stops": 0}
        waits = {"unit": "gang 0.1", "seats": [], "seats_omitted": 0}
        waits |= {"waits": "no_room", "detail": "room for 1 of 2 tasks", "stops": 3}
        rejected = [{**seat, "upstream": "u2", "reason": "no_accelerators"}]
        step = {"step": "0.1", "unit": "gang 0.1", "rejected": rejected}
        step["rejected_by_reason"] = {"no_accelerators": 1}
        body = {"version": 4, "upstreams": 2, "placed": 1, "waiting": 1}
        body |= {"units": [placed, waits], "units_omitted": 0, "steps": [step]}
        self.entry.responses = [(429, {"error": "too_many"}), (200, body)]
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{"steps": [{}]}')
            file.flush()
            arguments = ("where", file.name, "--prefix", "/p", "--host", "h.example")
            _, text, _ = self.run_cli(*arguments)
            self.assertIn("task 0.0.0  0     u1        z1    r1", text)
            self.assertIn("gang 0.1  no_room  room for 1 of 2 tasks  3", text)
            self.assertIn("u2        z1    r1    no_accelerators", text)
            self.assertEqual(body, json.loads(self.run_cli("--json", *arguments)[1]))
            self.entry.responses = [(401, {"error": "unauthenticated"})]
            status, _, error_line = self.run_cli(*arguments)
        path, sent, headers = self.entry.calls[0]
        self.assertEqual(f"POST /p/{'0' * 16}/explain", path)
        self.assertEqual({"steps": [{}]}, sent)
        self.assertEqual("h.example", headers["Host"])
        self.assertEqual((3, True), (status, "(code 200)" in error_line))

    def test_exit_status_depends_on_the_outcome(self):
        """Guards against scripts that take one outcome for another.

        Answers, requests that did not run, failures, unknown outcomes and
        requests in progress have different exit statuses, and a successful
        cancellation has status 0.
        """
        for code, not_run, status in (
            (0, False, 0),
            (500, True, 6),
            (502, True, 6),
            (503, False, 7),
            (505, False, 8),
        ):
            self.entry.responses = [request_response(True, code, not_run)]
            actual_status, _, _ = self.run_cli("wait", "r-1", "--wait-s", "0")
            self.assertEqual(actual_status, status, code)
        self.entry.responses = [request_response(False)]
        self.assertEqual(self.run_cli("wait", "r-1", "--wait-s", "0")[0], 11)
        self.entry.responses = [request_response(True, 500, True)]
        self.assertEqual(self.run_cli("cancel", "r-1")[0], 0)

    def test_wait_continues_past_the_limit_of_one_call(self):
        """Guards against a wait that ends before its deadline.

        An entry limits the wait of one call, so the command must call again.
        """
        self.entry.responses = [
            request_response(False),
            request_response(False),
            request_response(True),
        ]
        status, _, _ = self.run_cli("wait", "r-1", "--wait-s", "600")
        self.assertEqual((status, len(self.entry.calls)), (0, 3))

    def test_payload_is_read_from_a_file(self):
        """Guards against a payload file that is decoded as text or altered."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "scan"
            path.write_bytes(b"\x00\xff")
            self.entry.responses = [request_response(False)]
            self.run_cli(
                "submit", "--class", "c", "--key", "k", "--run-s", "1",
                "--payload-file", str(path),
            )  # fmt: skip
        self.assertEqual(self.entry.calls[0][1]["payload"], "AP8=")


class LocalCommandTests(CliTestCase):
    def test_hash_matches_the_hash_of_the_daemon(self):
        """Guards against a printed hash that does not admit its token.

        The command and the daemon must compute the same hash.
        """
        _, text, _ = self.run_cli("--json", "hash-token", stdin="secret\n")
        self.assertEqual(json.loads(text)["hash"], hash_token("secret"))
        _, text, _ = self.run_cli("--json", "hash-token", "--new")
        generated = json.loads(text)
        self.assertEqual(generated["hash"], hash_token(generated["token"]))

    def test_invalid_daemon_settings_are_reported(self):
        """Guards against a stack trace for invalid settings of the daemon.

        The error must be one line that names the key, with exit status 2.
        """
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.toml"
            path.write_text("[http]\nport = -1\n")
            status, _, error_line = self.run_cli("check-settings", str(path))
        self.assertEqual(status, 2)
        self.assertIn("'http.port' must be between 0 and 65535", error_line)
        self.assertEqual(error_line.count("\n"), 1)

    def test_later_settings_layers_override_earlier_ones(self):
        """Guards against a wrong precedence of the settings layers.

        The environment overrides the settings file, and options override
        both.  An unknown key in the file is an error.
        """
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "cli.toml"
            path.write_text(f'urls = ["{self.entry.url}"]\noperator_token = "file"\n')
            self.entry.responses = [APPLIED_RESPONSE]
            environment = {"PERSIMMONYARD_CONFIG": str(path)}
            call = ("zone", "in", "z")
            self.run_cli(*call, connection_options=False, environment=environment)
            environment["PERSIMMONYARD_OPERATOR_TOKEN"] = "environment"
            self.run_cli(*call, connection_options=False, environment=environment)
            option = ("--operator-token", "option")
            self.run_cli(
                *option, *call, connection_options=False, environment=environment
            )
            path.write_text("colour = 1\n")
            status, _, error_line = self.run_cli(
                *call, connection_options=False, environment=environment
            )
        tokens = [call[2]["Authorization"] for call in self.entry.calls]
        self.assertEqual(tokens, ["Bearer file", "Bearer environment", "Bearer option"])
        self.assertEqual(status, 2)
        self.assertIn("'colour' is unknown", error_line)


class FleetFileTests(unittest.TestCase):
    def test_unknown_sections_and_shape_fields_are_rejected(self):
        """Guards against a misspelt section or field that is ignored."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "fleet.toml"
            path.write_text("[zone.z]\n")
            with self.assertRaisesRegex(UserError, "section 'zone' is unknown"):
                read_fleet_file(path)
        with self.assertRaisesRegex(UserError, "'weight' is unknown"):
            parse_shape("gang=1,weight=2")


class DocumentationTests(unittest.TestCase):
    def test_every_result_code_is_documented(self):
        """Guards against result codes that are missing in the documentation.

        ``docs/result-codes.md`` must list the number, name and exit status of
        each code.
        """
        text = (ROOT / "docs" / "result-codes.md").read_text()
        for code in ResultCode:
            found = None
            for line in text.splitlines():
                if line.startswith(f"| {int(code)} | {code.name} |"):
                    found = line
            self.assertIsNotNone(found, code)
            cells = [cell.strip() for cell in found.split("|")]
            self.assertEqual(cells[5], str(exit_status(code)), found)
