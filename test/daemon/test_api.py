"""Tests of the HTTP interface of an entry with a fake leader."""

import asyncio
import base64
import json
import unittest
from pathlib import Path

import httpx

from persimmonyard.daemon.errors import error_body, http_status
from persimmonyard.model import PersimmonyardError, ResultCode
from persimmonyard.state.commands import CancelRequest, LogRecord
from test.daemon.fakes import (
    CLINIC_HEADERS,
    OPERATOR_HEADERS,
    OTHER_HEADERS,
    SPEC_BODY,
    UPSTREAM_HEADERS,
    EntryHarness,
)

VALID_BODY = {
    "class": "fit",
    "key": "k-1",
    "shape": {"gang": 2, "accelerators": 1},
    "declared_run_s": 1.5,
    "idempotent": True,
    "payload": base64.b64encode(b"scan").decode(),
}


def body_with(**fields):
    """Return the valid body as JSON, with some fields replaced."""
    return json.dumps(VALID_BODY | fields)


def body_without(name):
    """Return the valid body as JSON, without one field."""
    return json.dumps({key: value for key, value in VALID_BODY.items() if key != name})


def body_with_shape(**fields):
    """Return the valid body as JSON, with another shape."""
    return body_with(shape=fields)


# Label, body, expected code, expected field.
BAD_SUBMISSIONS = [
    ("empty", "", 100, None),
    ("not JSON", "{", 100, None),
    ("not UTF-8", b"\xff\xfe", 100, None),
    ("deep nesting", "[" * 100_000, 101, None),
    ("array", "[]", 101, None),
    ("no class", body_without("class"), 103, "class"),
    ("no key", body_without("key"), 103, "key"),
    ("no run time", body_without("declared_run_s"), 103, "declared_run_s"),
    ("no idempotent", body_without("idempotent"), 103, "idempotent"),
    ("unknown field", body_with(priority=1), 102, "priority"),
    ("unknown shape field", body_with_shape(vendor="x"), 102, "shape.vendor"),
    ("class a number", body_with(**{"class": 1}), 101, "class"),
    ("idempotent a string", body_with(idempotent="yes"), 101, "idempotent"),
    ("gang a fraction", body_with_shape(gang=1.5), 101, "shape.gang"),
    ("gang true", body_with_shape(gang=True), 101, "shape.gang"),
    ("run time null", body_with(declared_run_s=None), 101, "declared_run_s"),
    ("gang zero", body_with_shape(gang=0), 101, "shape.gang"),
    ("gang negative", body_with_shape(gang=-1), 101, "shape.gang"),
    ("gang above 256", body_with_shape(gang=257), 101, "shape.gang"),
    (
        "accelerators negative",
        body_with_shape(accelerators=-1),
        101,
        "shape.accelerators",
    ),
    (
        "accelerators huge",
        body_with_shape(accelerators=10**30),
        101,
        "shape.accelerators",
    ),
    ("no cores", body_with_shape(cores=0), 101, "shape.cores"),
    ("memory negative", body_with_shape(memory_mb=-5), 101, "shape.memory_mb"),
    ("unknown adjacency", body_with_shape(adjacency="row"), 101, "shape.adjacency"),
    ("run time zero", body_with(declared_run_s=0), 101, "declared_run_s"),
    ("run time negative", body_with(declared_run_s=-1), 101, "declared_run_s"),
    ("run time NaN", body_with(declared_run_s=float("nan")), 101, "declared_run_s"),
    (
        "run time infinite",
        body_with(declared_run_s=float("inf")),
        101,
        "declared_run_s",
    ),
    (
        "run time overflows",
        body_with().replace("1.5", "1e400"),
        101,
        "declared_run_s",
    ),
    ("wait negative", body_with(wait_s=-1), 101, "wait_s"),
    ("wait NaN", body_with(wait_s=float("nan")), 101, "wait_s"),
    ("key empty", body_with(key=""), 101, "key"),
    ("key too long", body_with(key="k" * 129), 101, "key"),
    ("key with a line break", body_with(key="a\nb"), 101, "key"),
    ("payload not base64", body_with(payload="%%%"), 101, "payload"),
    ("payload not ASCII", body_with(payload="é"), 101, "payload"),
    (
        "payload too large",
        body_with(payload=base64.b64encode(bytes(65_537)).decode()),
        104,
        "payload",
    ),
    ("body too large", " " * 131_073, 104, None),
    ("unknown class", body_with(**{"class": "sculpt"}), 106, "class"),
]

# Method, path, headers, body, expected status, code and field.
BAD_CALLS = [
    ("GET", "/v1/nothing", CLINIC_HEADERS, None, 404, 109, None),
    ("GET", "/", {}, None, 404, 109, None),
    ("PUT", "/v1/requests", CLINIC_HEADERS, None, 405, 110, None),
    ("DELETE", "/v1/requests/r-1", CLINIC_HEADERS, None, 405, 110, None),
    ("POST", "/v1/requests", {}, "{}", 401, 200, None),
    ("POST", "/v1/requests", {"Authorization": "Bearer x"}, "{}", 401, 200, None),
    ("POST", "/v1/requests", {"Authorization": "Basic x"}, "{}", 401, 200, None),
    ("POST", "/v1/requests", OPERATOR_HEADERS, "{}", 403, 201, None),
    ("POST", "/v1/requests", UPSTREAM_HEADERS, "{}", 403, 201, None),
    ("GET", "/v1/operator/status", CLINIC_HEADERS, None, 403, 201, None),
    ("GET", "/v1/operator/configuration", CLINIC_HEADERS, None, 403, 201, None),
    ("GET", "/v1/dump", {}, None, 401, 200, None),
    ("GET", "/v1/dump", CLINIC_HEADERS, None, 403, 201, None),
    ("POST", "/v1/upstreams/announce", CLINIC_HEADERS, "{}", 403, 201, None),
    ("GET", "/v1/requests/r-1", CLINIC_HEADERS, None, 404, 403, "request"),
    ("GET", "/v1/requests/r-1?wait_s=x", CLINIC_HEADERS, None, 400, 101, "wait_s"),
    ("GET", "/v1/requests/r-1?wait_s=nan", CLINIC_HEADERS, None, 400, 101, "wait_s"),
    ("GET", "/v1/requests/r-1?wait_s=inf", CLINIC_HEADERS, None, 400, 101, "wait_s"),
    ("GET", "/v1/requests/r-1?wait_s=-1", CLINIC_HEADERS, None, 400, 101, "wait_s"),
    ("GET", "/v1/requests/r-1?wait=1", CLINIC_HEADERS, None, 400, 102, "wait"),
    ("GET", "/v1/requests/r-1/explain", CLINIC_HEADERS, None, 404, 403, "request"),
]


def change_body(**fields):
    """Return a JSON body with one configuration change."""
    return json.dumps({"changes": [fields]})


def account_body(**fields):
    """Return a JSON body that sets one client account."""
    return change_body(client_account={"name": "a"} | fields)


BAD_CONFIGURATIONS = [
    ("not JSON", "{", 100, None),
    ("no changes", "{}", 103, "changes"),
    ("empty changes", '{"changes": []}', 101, "changes"),
    ("empty change", change_body(), 101, "changes[0]"),
    ("two in one", change_body(zone={"name": "z"}, remove="zone/z"), 101, "changes[0]"),
    ("unknown kind", change_body(weight=1), 102, "changes[0].weight"),
    ("no name", change_body(zone={"name": ""}), 101, "changes[0].zone.name"),
    ("slash in name", change_body(zone={"name": "a/b"}), 101, "changes[0].zone.name"),
    (
        "target zero",
        change_body(work_class={"name": "c", "within_s": 0}),
        101,
        "changes[0].work_class.within_s",
    ),
    (
        "target at no time of day",
        change_body(work_class={"name": "c", "done_by": "24:00"}),
        101,
        "changes[0].work_class.done_by",
    ),
    (
        "two targets",
        change_body(work_class={"name": "c", "done_by": "06:00", "within_s": 5}),
        101,
        "changes[0].work_class.done_by",
    ),
    (
        "token in the clear",
        account_body(token_hashes=["secret"]),
        101,
        "changes[0].client_account.token_hashes[0]",
    ),
    (
        "max_waiting negative",
        account_body(max_waiting=-1),
        101,
        "changes[0].client_account.max_waiting",
    ),
    (
        "guarantee gang zero",
        account_body(guarantee=[{"gang": 0}]),
        101,
        "changes[0].client_account.guarantee[0].gang",
    ),
    ("remove without kind", change_body(remove="x"), 101, "changes[0].remove"),
    (
        "version conflict",
        json.dumps({"changes": [{"zone": {"name": "z"}}], "expected_version": 7}),
        401,
        "expected_version",
    ),
    (
        "version negative",
        json.dumps({"changes": [{"zone": {"name": "z"}}], "expected_version": -1}),
        101,
        "expected_version",
    ),
]


class EntryTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        await self.serve(EntryHarness())

    async def serve(self, entry):
        """Create a test client for an entry."""
        self.entry = entry
        transport = httpx.ASGITransport(entry.app, raise_app_exceptions=False)
        self.client = httpx.AsyncClient(transport=transport, base_url="http://entry")
        self.addAsyncCleanup(self.client.aclose)

    async def submit(self, headers=CLINIC_HEADERS, **fields):
        return await self.client.post(
            "/v1/requests", content=body_with(**fields), headers=headers
        )

    def assert_error(self, reply, code, field, not_run=True):
        """Check that a reply is the given error in the documented form."""
        body = reply.json()
        keys = {"code", "name", "message", "field", "not_run"}
        self.assertEqual(set(body), keys)
        self.assertEqual((body["code"], body["field"]), (code, field), body)
        self.assertEqual(body["name"], ResultCode(code).name)
        self.assertEqual(body["not_run"], not_run, body)
        self.assertTrue(body["message"])


class BadInputTests(EntryTestCase):
    async def test_bad_submissions_name_the_field_and_record_nothing(self):
        """Guards against recording an invalid submission.

        Each body in the table gets its code and field.
        """
        for label, body, code, field in BAD_SUBMISSIONS:
            with self.subTest(label):
                reply = await self.client.post(
                    "/v1/requests", content=body, headers=CLINIC_HEADERS
                )
                self.assert_error(reply, code, field)
                self.assertEqual(reply.status_code, 413 if code == 104 else 400)
        self.assertEqual(self.entry.leader.machine.request_by_id, {})

    async def test_bad_configurations_change_nothing(self):
        """Guards against applying an invalid configuration change.

        Each body in the table gets its code, and the version is unchanged.
        """
        for label, body, code, field in BAD_CONFIGURATIONS:
            with self.subTest(label):
                reply = await self.client.post(
                    "/v1/operator/configuration", content=body, headers=OPERATOR_HEADERS
                )
                self.assert_error(reply, code, field)
        self.assertEqual(self.entry.leader.machine.configuration.version, 1)

    async def test_bad_calls_get_json_errors(self):
        """Guards against errors that are not in the documented JSON form.

        They come from unknown paths and methods, bad tokens and wrong roles.
        """
        for method, path, headers, body, status, code, field in BAD_CALLS:
            with self.subTest(f"{method} {path} {headers}"):
                reply = await self.client.request(
                    method, path, headers=headers, content=body
                )
                self.assertEqual(reply.status_code, status)
                about_recorded = path.startswith("/v1/requests/")
                self.assert_error(reply, code, field, not about_recorded)
        self.assertEqual(self.entry.leader.commands, [])

    async def test_internal_error_does_not_claim_not_run(self):
        """Guards against claiming "not run" after an internal error.

        An unexpected exception gives code 605 in the JSON form.
        """
        self.entry.leader.error = ZeroDivisionError("fault")
        reply = await self.submit()
        self.assertEqual(reply.status_code, 500)
        self.assert_error(reply, 605, None, not_run=False)

    async def test_reused_key_is_refused(self):
        """Guards against a second request under a key that is in use.

        Another body with the same key gets code 400.
        """
        await self.submit()
        reply = await self.submit(declared_run_s=2.0)
        self.assertEqual(reply.status_code, 409)
        self.assert_error(reply, 400, "key")
        self.assertEqual(len(self.entry.leader.machine.request_by_id), 1)


class NotRunTests(EntryTestCase):
    async def test_unknown_outcome_is_not_called_not_run(self):
        """Guards against claiming "not run" when the outcome is unknown."""
        self.entry.leader.error = PersimmonyardError(ResultCode.TIMEOUT, "late")
        reply = await self.submit()
        self.assertEqual(reply.status_code, 504)
        self.assert_error(reply, 603, None, not_run=False)

    async def test_refusal_without_leader_is_not_run(self):
        """Guards against an unknown outcome although no leader was reached.

        The error says "not run", and when to retry.
        """
        self.entry.leader.error = PersimmonyardError(ResultCode.NO_LEADER, "none")
        reply = await self.submit()
        self.assert_error(reply, 600, None)
        self.assertEqual(reply.headers["retry-after"], "1")

    async def test_failed_look_up_does_not_say_that_the_request_did_not_run(self):
        """Guards against claiming "not run" about a recorded request.

        The request is recorded, but no leader is found for reading it.
        """
        request_id = (await self.submit()).json()["request"]
        self.entry.leader.error = PersimmonyardError(ResultCode.NO_LEADER, "none")
        reply = await self.client.get(
            f"/v1/requests/{request_id}", headers=CLINIC_HEADERS
        )
        self.assert_error(reply, 600, None, not_run=False)

    async def test_without_lease_nothing_is_accepted(self):
        """Guards against accepting submissions without a valid lease.

        The configuration may be outdated, so the entry refuses with code 604.
        """
        self.entry.state.lease_until = 0.0
        self.assert_error(await self.submit(), 604, None)
        self.assertEqual(self.entry.leader.commands, [])


class RequestTests(EntryTestCase):
    async def test_requests_of_another_account_look_like_not_found(self):
        """Guards against revealing the requests of another account.

        Each call answers as if the request did not exist, and changes nothing.
        """
        request_id = (await self.submit()).json()["request"]
        for method, tail in (
            ("GET", ""),
            ("GET", "?wait_s=5"),
            ("GET", "/explain"),
            ("POST", "/cancel"),
            ("POST", "/acknowledge"),
        ):
            replies = []
            for name in (request_id, "r-none"):
                path = f"/v1/requests/{name}{tail}"
                reply = await self.client.request(method, path, headers=OTHER_HEADERS)
                text = reply.text.replace(name, "ID")
                replies.append((reply.status_code, text))
            with self.subTest(f"{method} {tail}"):
                self.assertEqual(replies[0], replies[1])
                self.assertEqual(replies[0][0], 404)
        record = self.entry.leader.record(request_id)
        self.assertFalse(record.cancel_requested)

    async def test_long_poll_returns_when_the_request_ends(self):
        """Guards against a long poll that misses the pushed outcome."""
        request_id = (await self.submit()).json()["request"]
        path = f"/v1/requests/{request_id}?wait_s=60"
        poll = asyncio.create_task(self.client.get(path, headers=CLINIC_HEADERS))
        while self.entry.state.waiters.count() == 0:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        cancel = CancelRequest(request_id, "clinic")
        self.entry.leader.machine.apply_record(LogRecord("", 2.0, cancel))
        self.entry.push_outcome(request_id)
        body = (await poll).json()
        self.assertEqual(
            (body["code"], body["ended"], body["not_run"]), (500, True, True)
        )

    async def test_long_poll_without_end_gives_the_identifier(self):
        """Guards against an error when the wait of a submission times out.

        The caller gets the identifier of the recorded request.
        """
        body = (await self.submit(wait_s=0.05)).json()
        self.assertEqual((body["ended"], body["state"]), (False, "accepted"))
        self.assertIn(body["request"], self.entry.leader.machine.request_by_id)

    async def test_resend_without_wait_gets_the_state_of_the_first(self):
        """Guards against answering a resend with "accepted" after the end.

        The resend joins a request that has ended, and gets its outcome.
        """
        request_id = (await self.submit()).json()["request"]
        path = f"/v1/requests/{request_id}/cancel"
        await self.client.post(path, headers=CLINIC_HEADERS)
        body = (await self.submit()).json()
        self.assertEqual(
            (body["request"], body["ended"], body["code"]), (request_id, True, 500)
        )

    async def test_repeated_cancel_returns_the_same_outcome(self):
        """Guards against another outcome when a cancel is repeated.

        Both calls return code 500 for the waiting request.
        """
        request_id = (await self.submit()).json()["request"]
        for _ in range(2):
            path = f"/v1/requests/{request_id}/cancel"
            body = (await self.client.post(path, headers=CLINIC_HEADERS)).json()
            self.assertEqual((body["code"], body["not_run"]), (500, True))

    async def test_stopping_entry_answers_long_polls(self):
        """Guards against long polls that delay a shutdown.

        The caller gets the identifier of the request immediately.
        """
        submission = asyncio.create_task(self.submit(wait_s=60))
        while self.entry.state.waiters.count() == 0:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        self.entry.state.waiters.stop()
        body = (await asyncio.wait_for(submission, 20)).json()
        self.assertFalse(body["ended"])

    async def test_health_and_metrics(self):
        """Guards against wrong health states and call counts.

        The health check reports a shutdown, and the metrics count calls by
        class and code.
        """
        await self.submit()
        await self.submit(declared_run_s=9.0)
        text = (await self.client.get("/metrics")).text
        self.assertIn('class="fit",code="400",operation="submit"} 1', text)
        self.assertEqual((await self.client.get("/health")).status_code, 200)
        self.entry.entry_app.stopping = True
        health = await self.client.get("/health")
        self.assertEqual(
            (health.status_code, health.json()["status"]), (503, "stopping")
        )

    async def test_dump_works_without_a_lease(self):
        """Guards against a dump that is refused when the entry is isolated."""
        self.entry.state.lease_until = 0.0
        reply = await self.client.get("/v1/dump", headers=OPERATOR_HEADERS)
        self.assertEqual(reply.status_code, 200)


class OperatorTests(EntryTestCase):
    async def apply(self, body, key=None):
        headers = dict(OPERATOR_HEADERS)
        if key is not None:
            headers["Idempotency-Key"] = key
        return await self.client.post(
            "/v1/operator/configuration", json=body, headers=headers
        )

    async def test_resent_change_gets_the_first_result(self):
        """Guards against applying a resent configuration change twice.

        With the same idempotency key, the resend gets the first result.
        """
        body = {"changes": [{"zone": {"name": "z"}}], "expected_version": 1}
        first = await self.apply(body, "a")
        second = await self.apply(body, "a")
        self.assertEqual(first.json(), second.json())
        conflict = await self.apply(body, "b")
        self.assert_error(conflict, 401, "expected_version")
        self.assertIn("version 2", conflict.json()["message"])

    async def test_committed_change_is_reported_though_the_wait_fails(self):
        """Guards against reporting a committed change as failed.

        The leader is lost while the entry waits until the change is in force.
        """

        async def lose_leader():
            self.entry.leader.error = PersimmonyardError(ResultCode.NO_LEADER, "none")

        self.entry.leader.before_result = lose_leader
        body = {"changes": [{"zone": {"name": "z"}}], "wait_s": 1.0}
        reply = await self.apply(body)
        self.assertEqual(reply.json(), {"version": 2, "in_force": False})


class AnnouncementTests(EntryTestCase):
    async def announce(self, leaving=False, sent_at=17.5, usage=None, **fields):
        body = {"spec": SPEC_BODY | fields, "sent_at": sent_at, "leaving": leaving}
        if usage is not None:
            body["usage"] = usage
        return await self.client.post(
            "/v1/upstreams/announce", json=body, headers=UPSTREAM_HEADERS
        )

    def command_names(self):
        """Return the class names of the commands that reached the leader."""
        return [type(command).__name__ for command in self.entry.leader.commands]

    async def test_bad_announcements_name_the_field(self):
        """Guards against recording an upstream that no placement can use."""
        for field, value in (
            ("upstream_id", ""),
            ("incarnation", "a\nb"),
            ("zone", ""),
            ("rack", "r" * 129),
            ("accelerators", -1),
            ("cores", 1.5),
            ("slots", 0),
            ("connections", 0),
            ("address", "upstream.example:9000"),
            ("address", "127.0.0.1:0"),
            ("address", "127.0.0.1"),
        ):
            with self.subTest(field=field, value=value):
                reply = await self.announce(**{field: value})
                self.assert_error(reply, 101, f"spec.{field}")
        self.assertEqual(self.entry.leader.commands, [])

    async def test_reported_usage_reaches_the_leader(self):
        """Guards against a documented field that the entry does not read."""
        await self.announce(usage={"busy_slots": 3, "age_s": 5.0})
        heartbeat = self.entry.state.make_beat("e", "z", 1, False).heartbeats[0]
        self.assertEqual((3, 5.0), (heartbeat.busy_slots, heartbeat.usage_age_s))

    async def test_implausible_usage_costs_no_lease(self):
        """Guards against a sound upstream that is lost for its usage.

        The usage is only shown to operators, so it is left out.
        """
        for busy_slots, age_s in ((9, 0.0), (-1, 0.0), (10**30, 0.0), (1, -1.0)):
            with self.subTest(busy_slots=busy_slots, age_s=age_s):
                usage = {"busy_slots": busy_slots, "age_s": age_s}
                reply = await self.announce(usage=usage)
                self.assertLess(reply.status_code, 300)
                beat = self.entry.state.make_beat("e", "z", 1, False)
                self.assertIsNone(beat.heartbeats[0].usage_age_s)

    async def test_late_registration_takes_nothing_from_the_next_incarnation(self):
        """Guards against an upstream that restarted and is not registered.

        The registration of its earlier incarnation is under way while the next
        one announces itself, and its result arrives last.
        """
        committed = asyncio.Event()
        self.entry.leader.before_result = committed.wait
        late = asyncio.create_task(self.announce())
        async with asyncio.timeout(10.0):
            while not self.entry.leader.commands:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        self.entry.leader.before_result = None
        self.assertLess((await self.announce(incarnation="b")).status_code, 300)
        committed.set()
        await late
        self.assertLess((await self.announce(incarnation="b")).status_code, 300)
        beat = self.entry.state.make_beat("e", "z", 1, False)
        self.assertEqual(["b"], [sent.incarnation for sent in beat.heartbeats])
        upstream = self.entry.leader.machine.upstream_by_id["up-1"]
        self.assertEqual("b", upstream.spec.incarnation)

    async def test_heartbeat_sends_no_command(self):
        """Guards against one command per heartbeat.

        Only a changed specification is sent to the leader as a command.
        """
        for _ in range(3):
            reply = await self.announce()
        self.assertEqual(reply.json()["sent_at"], 17.5)
        self.assertEqual(self.command_names(), ["RegisterUpstream"])
        await self.announce(incarnation="b")
        self.assertEqual(self.command_names(), ["RegisterUpstream"] * 2)
        beat = self.entry.state.make_beat("e", "z", 2, False)
        sent = [
            (heartbeat.upstream_id, heartbeat.incarnation)
            for heartbeat in beat.heartbeats
        ]
        self.assertEqual(sent, [("up-1", "b")])

    async def test_leaving_is_committed_before_the_reply(self):
        """Guards against confirming a leave that is not committed."""
        await self.announce()
        await self.announce(leaving=True)
        upstream_record = self.entry.leader.machine.upstream_by_id["up-1"]
        self.assertEqual(upstream_record.status, "leaving")
        self.assertEqual(
            self.command_names(), ["RegisterUpstream", "SetUpstreamStatus"]
        )

    async def test_unknown_upstream_that_leaves_is_registered_as_leaving(self):
        """Guards against placements on an upstream that is leaving.

        Its first announcement already says that it leaves.
        """
        await self.announce(leaving=True)
        upstream_record = self.entry.leader.machine.upstream_by_id["up-1"]
        self.assertEqual(upstream_record.status, "leaving")

    async def test_upstream_is_registered_again_after_a_failover(self):
        """Guards against an upstream that a new leader does not know.

        The next session registers it again, exactly once.
        """
        await self.announce()
        self.entry.announcements.clear_registered()
        await self.announce()
        await self.announce()
        self.assertEqual(self.command_names(), ["RegisterUpstream"] * 2)

    async def test_refused_registration_is_sent_again(self):
        """Guards against treating a failed registration as done."""
        self.entry.leader.error = PersimmonyardError(ResultCode.NO_LEADER, "none")
        self.assert_error(await self.announce(), 600, None)
        self.entry.leader.error = None
        await self.announce()
        self.assertEqual(self.command_names(), ["RegisterUpstream"])


class DocumentationTests(unittest.TestCase):
    def test_table_of_codes_matches_what_is_sent(self):
        """Guards against a table of result codes that differs from the code.

        It has the HTTP status and ``not_run`` of each code.
        """
        path = Path(__file__).resolve().parents[2] / "docs" / "result-codes.md"
        rows = {}
        for line in path.read_text().splitlines():
            cells = [cell.strip() for cell in line.split("|")]
            if len(cells) > 4 and cells[1].isdigit():
                rows.setdefault(cells[2], cells)
        for code in ResultCode:
            if code == ResultCode.OK:
                continue
            cells = rows[code.name]
            not_run = {"yes": True, "no": False}[cells[4]]
            self.assertEqual(cells[3], str(http_status(code)), code)
            self.assertEqual(not_run, error_body(code, "")["not_run"], code)
