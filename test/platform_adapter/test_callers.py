"""Tests of the answers that callers get over HTTP."""

import unittest
from types import SimpleNamespace

from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.rpc import CallReply, Outcome
from persimmonyard.platform.callers import build_caller_apps


class CallerTests(unittest.IsolatedAsyncioTestCase):
    async def answer(self, reply):
        """Return the status and the headers of the answer to a GET."""

        async def call(job_call, within_s):
            return reply

        process = SimpleNamespace(
            client=SimpleNamespace(call=call),
            metrics=JobMetrics(),
            stall_clock=SimpleNamespace(longest_wait_s=lambda: 0.0),
            stopping=False,
        )
        sent = []

        async def receive():
            return {"type": "http.request", "body": b"", "more_body": False}

        async def send(message):
            sent.append(message)

        path = "/normal/00000000000000a1"
        scope = {
            "type": "http",
            "method": "GET",
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": [],
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "scheme": "http",
            "client": ("127.0.0.1", 1),
            "server": ("127.0.0.1", 2),
            "root_path": "",
            "state": {},
        }
        await build_caller_apps(process)[0](scope, receive, send)
        return sent[0]["status"], dict(sent[0]["headers"])

    async def test_refused_job_gets_its_own_delay(self):
        """Guards against refused callers that all return after a second."""
        reply = CallReply(Outcome.REFUSED, detail="no_upstream", retry_after_s=17)
        status, headers = await self.answer(reply)
        self.assertEqual((429, b"17"), (status, headers[b"retry-after"]))
        status, headers = await self.answer(CallReply(Outcome.TOO_MANY))
        self.assertEqual((429, b"1"), (status, headers[b"retry-after"]))


if __name__ == "__main__":
    unittest.main()
