"""Property tests: random bodies never raise anything but ``BadBodyError``."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonyard.jobs import (
    JobStore,
    NoteUpstreams,
    PutConfiguration,
    SubmitJob,
    configuration_problem,
    decode_command,
    encode_command,
)
from persimmonyard.platform.codec import (
    BadBodyError,
    decode_configuration,
    decode_job,
    decode_listing,
    decode_report,
)
from test.json_changes import paths, replace
from test.platform_adapter.test_codec import NOW_MS, REPORT, ROUTE

JOB = {
    "spec": "text",
    "steps": [
        {"count": 3, "cpu": 500, "mem_mb": 256, "gpu": 2, "estimate_ms": 900},
        {"depends_on": [0], "constraints": "a", "gang": True, "anti_affinity": 1},
    ],
    "start_at_ms": 5,
    "interval_ms": 1_000,
    "repeat_count": 3,
}
CONFIGURATION = {
    "version": 3,
    "routes": [ROUTE | {"stretch": 1.5, "attempts": 4, "priority": 0}],
    "services": [{"name": "svc", "admission_check": True}],
    "tenants": [
        {
            "name": "t",
            "api_keys": ["k"],
            "guaranteed": {"gpu": 3},
            "max_count": {"cpu": 64_000, "mem_mb": 9_000, "gpu": 8},
            "weight": 2.5,
        }
    ],
    "limits": {"max_body_bytes": 1_000},
}
LISTING = {
    "clock_ms": 5,
    "born": 9,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "c", 41, 3]],
    "ended": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
}

EDGES = (0, 1, -1, 2**31, 2**53 - 1, 2**53, 2**63 - 1, 2**63, 2**64, -(2**64), 10**40)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from(EDGES),
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=20),
    st.sampled_from(("", "a.0.0.0", "10.0.0.1:80", "ready", "done", "\ud800", "\x00")),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=10), inner, max_size=4)
    ),
    max_leaves=8,
)


@st.composite
def changed(draw, body):
    """Draw a body with one value replaced, sometimes two."""
    for _ in range(draw(st.sampled_from((1, 1, 2)))):
        path = draw(st.sampled_from(list(paths(body))))
        body = replace(body, path, draw(st.one_of(st.sampled_from(EDGES), VALUES)))
    return body


def encode(body):
    return json.dumps(body).encode()


def bodies(valid):
    """Return a strategy for encoded bodies, valid ones and arbitrary ones."""
    truncated = st.integers(0, 400).map(lambda size: encode(valid)[:size])
    return st.one_of(
        changed(valid).map(encode), VALUES.map(encode), truncated, st.binary()
    )


class RandomBodyTests(unittest.TestCase):
    def check_command(self, command):
        """Check that a command can be committed and executed."""
        decoded = decode_command(encode_command(command))
        JobStore().execute(decoded)
        return decoded

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(bodies(REPORT))
    def test_reports(self, body):
        """Guards against a report that ends a process or cannot be stored."""
        try:
            report = decode_report("i-1", body, NOW_MS)
        except BadBodyError:
            return
        self.check_command(NoteUpstreams((report,)))

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(bodies(JOB))
    def test_jobs(self, body):
        """Guards against a job that ends a process or cannot be stored."""
        try:
            job = decode_job(body)
        except BadBodyError:
            return
        self.check_command(SubmitJob(job))

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(bodies(CONFIGURATION))
    def test_configurations(self, body):
        """Guards against a configuration that cannot be stored."""
        try:
            configuration = decode_configuration(body)
        except BadBodyError:
            return
        configuration_problem(configuration)
        self.check_command(PutConfiguration(configuration))

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(bodies(LISTING))
    def test_listings(self, body):
        """Guards against a listing that ends the leader's term."""
        try:
            listing = decode_listing(body, NOW_MS)
        except BadBodyError:
            return
        for running in listing.running:
            self.assertLessEqual(running.percent, 100)

    def test_unchanged_bodies_are_accepted(self):
        """Guards against strategies that draw from invalid bodies only."""
        decode_report("i-1", encode(REPORT), NOW_MS)
        decode_job(encode(JOB))
        decode_configuration(encode(CONFIGURATION))
        decode_listing(encode(LISTING), NOW_MS)


if __name__ == "__main__":
    unittest.main()
