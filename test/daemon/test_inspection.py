"""Tests of persimmonyard.daemon.control.inspection."""

import unittest

import httpx

from persimmonyard.daemon.control.assignments import AssignmentController
from persimmonyard.daemon.control.inspection import (
    ControlComponents,
    build_inspection_app,
)
from persimmonyard.daemon.control.operator_auth import OperatorAuthenticator
from persimmonyard.daemon.control.scheduling import SchedulingController
from persimmonyard.daemon.control.sessions import SessionController
from persimmonyard.daemon.control.upstreams import UpstreamController
from persimmonyard.daemon.tokens import hash_token
from persimmonyard.model import ClientAccountSpec, ConfigurationChange, Shape
from test.daemon.control_fakes import FakeControl


class InspectionTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        control = FakeControl()
        control.set_up()
        sessions = SessionController(control.replicated_state)
        assignments = AssignmentController(control.replicated_state, sessions)
        scheduling = SchedulingController(control.replicated_state, assignments)
        upstreams = UpstreamController(control.replicated_state)
        large = ClientAccountSpec("large", guarantee=(Shape(accelerators=99),))
        control.configure(ConfigurationChange(client_account=large))
        control.become_leader(sessions, assignments, scheduling, upstreams)
        while not scheduling.load_slice():
            pass
        components = ControlComponents(
            "control-1",
            control.replicated_state,
            control.replica,
            sessions,
            assignments,
            scheduling,
            upstreams,
        )
        authenticator = OperatorAuthenticator([hash_token("operator")])
        app = build_inspection_app(components, authenticator)
        self.client = httpx.AsyncClient(
            transport=httpx.ASGITransport(app), base_url="http://control"
        )

    async def test_dump_needs_an_operators_token(self):
        """The state dump must not be readable without an operator's token."""
        for token, status in (("wrong", 401), ("operator", 200)):
            headers = {"Authorization": f"Bearer {token}"}
            reply = await self.client.get("/dump", headers=headers)
            with self.subTest(token):
                self.assertEqual(reply.status_code, status)

    async def test_guarantee_at_risk_is_shown_with_its_account(self):
        """A guarantee that no longer fits must be visible to operators.

        The dump names the client account, and a metric counts the guarantees.
        """
        headers = {"Authorization": "Bearer operator"}
        dump = (await self.client.get("/dump", headers=headers)).json()
        (problem,) = dump["guarantees_at_risk"]
        self.assertEqual(problem["client_account"], "large")
        metrics = (await self.client.get("/metrics")).text
        self.assertIn("persimmonyard_guarantees_at_risk 1", metrics)
