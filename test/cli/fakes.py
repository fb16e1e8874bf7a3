"""A fake entry server and a base class for tests of the command line."""

import contextlib
import io
import json
import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from unittest import mock

from persimmonyard.cli.main import run


class FakeEntryServer:
    """An HTTP server on loopback that sends the responses set by a test.

    A response in ``responses`` is a pair of status and JSON body, or ``None``
    to close the connection without a response.  ``calls`` has the method and
    path, the JSON body and the headers of each received call.
    """

    def __init__(self):
        self.responses = []
        self.calls = []
        fake_entry = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):
                fake_entry.respond(self)

            def do_POST(self):
                fake_entry.respond(self)

            def log_message(self, *arguments):
                """Suppress the access log."""

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.url = f"http://127.0.0.1:{self.server.server_port}"
        self.thread = threading.Thread(
            target=self.server.serve_forever, args=(0.02,), daemon=True
        )
        self.thread.start()

    def respond(self, handler):
        """Send the next response; the last one repeats."""
        content_length = int(handler.headers.get("content-length", 0))
        body = handler.rfile.read(content_length)
        self.calls.append(
            (
                f"{handler.command} {handler.path}",
                json.loads(body) if body else None,
                dict(handler.headers),
            )
        )
        index = min(len(self.calls), len(self.responses)) - 1
        response = self.responses[index]
        if response is None:
            handler.close_connection = True
            return
        status, value = response
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


def error_response(code, name, not_run=True, status=503):
    """Return an error response in the documented format."""
    body = {
        "code": code,
        "name": name,
        "message": name.lower(),
        "field": None,
        "not_run": not_run,
    }
    return (status, body)


class CliTestCase(unittest.TestCase):
    def setUp(self):
        self.entry = self.start_entry()
        sleep = mock.patch("persimmonyard.cli.client.time.sleep")
        sleep.start()
        self.addCleanup(sleep.stop)

    def start_entry(self):
        """Start a fake entry server that is closed at the end of the test."""
        entry = FakeEntryServer()
        self.addCleanup(entry.close)
        return entry

    def run_cli(self, *arguments, connection_options=True, environment=(), stdin=""):
        """Run the command line; return exit status, output and error output.

        ``connection_options`` adds the URL of the fake entry and the tokens.
        """
        command = ["persimmonyard"]
        if connection_options:
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
            except SystemExit as system_exit:
                status = system_exit.code or 0
        return status, output.getvalue(), errors.getvalue()
