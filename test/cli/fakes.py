"""A fake entry for tests of the command line."""

import contextlib
import io
import json
import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from unittest import mock

from persimmonyard.cli.main import run


class FakeEntry:
    """Answers calls on loopback from a list that the test fills.

    An answer is a pair of status and body, or ``None`` to close the
    connection without an answer.
    """

    def __init__(self):
        self.answers = []
        self.calls = []
        fake = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):
                fake.answer(self)

            def do_POST(self):
                fake.answer(self)

            def log_message(self, *arguments):
                """Print nothing."""

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.url = f"http://127.0.0.1:{self.server.server_port}"
        self.thread = threading.Thread(
            target=self.server.serve_forever, args=(0.02,), daemon=True
        )
        self.thread.start()

    def answer(self, handler):
        """Answer one call with the next answer; the last one repeats."""
        length = int(handler.headers.get("content-length", 0))
        body = handler.rfile.read(length)
        self.calls.append(
            (
                f"{handler.command} {handler.path}",
                json.loads(body) if body else None,
                dict(handler.headers),
            )
        )
        position = min(len(self.calls), len(self.answers)) - 1
        answer = self.answers[position]
        if answer is None:
            handler.close_connection = True
            return
        status, value = answer
        data = json.dumps(value).encode()
        handler.send_response(status)
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Content-Length", str(len(data)))
        handler.end_headers()
        handler.wfile.write(data)

    def close(self):
        self.server.shutdown()
        self.server.server_close()
        self.thread.join()


def error(code, name, not_run=True, status=503):
    """Return the answer with an error in the documented form."""
    body = {
        "code": code,
        "name": name,
        "message": name.lower(),
        "field": None,
        "not_run": not_run,
    }
    return (status, body)


class CliCase(unittest.TestCase):
    def setUp(self):
        self.entry = self.fake()
        sleep = mock.patch("persimmonyard.cli.client.time.sleep")
        sleep.start()
        self.addCleanup(sleep.stop)

    def fake(self):
        """Return a fake entry that ends with the test."""
        entry = FakeEntry()
        self.addCleanup(entry.close)
        return entry

    def cli(self, *arguments, url=True, environment=(), stdin=""):
        """Run the command line; return its status, output and error line."""
        command = ["persimmonyard"]
        if url:
            command += ["--url", self.entry.url, "--operator-token", "secret"]
            command += ["--token", "secret"]
        output, errors = io.StringIO(), io.StringIO()
        variables = {"HOME": "/nonexistent"} | dict(environment)
        status = 0
        with (
            mock.patch("sys.argv", [*command, *arguments]),
            mock.patch.dict("os.environ", variables, clear=True),
            mock.patch("sys.stdin", io.StringIO(stdin)),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(errors),
        ):
            try:
                run()
            except SystemExit as leaving:
                status = leaving.code or 0
        return status, output.getvalue(), errors.getvalue()
