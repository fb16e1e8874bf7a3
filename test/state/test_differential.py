"""Differential test of the state machine against a plain dict."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonyard.model import ClassSpec, ConfigurationChange, ResultCode
from persimmonyard.state import StateMachine
from persimmonyard.state.commands import ApplyConfiguration, LogRecord, encode_record

NAMES = st.sampled_from(["a", "b", "c"])
TARGETS = st.none() | st.integers(1, 3).map(float)
STEPS = st.tuples(
    st.sampled_from(["", "op-1", "op-2", "op-3"]),
    st.lists(st.tuples(NAMES, st.booleans(), TARGETS), min_size=1, max_size=3),
    st.none() | st.integers(0, 6),
    st.booleans(),
)


class PlainStore:
    """The obvious version: one dict of classes, one of first results."""

    def __init__(self):
        self.version = 0
        self.target_by_class = {}
        self.first_by_identity = {}

    def apply(self, identity, changes, expected):
        """Apply changes once and return the code and the version."""
        asked = command_for(changes, expected)
        if identity in self.first_by_identity:
            known, result = self.first_by_identity[identity]
            return result if known == asked else (ResultCode.KEY_REUSED, None)
        result = self.apply_new(changes, expected)
        if identity:
            self.first_by_identity[identity] = (asked, result)
        return result

    def apply_new(self, changes, expected):
        if expected not in (None, self.version):
            return ResultCode.VERSION_CONFLICT, self.version
        for name, kept, target in changes:
            self.target_by_class.pop(name, None)
            if kept:
                self.target_by_class[name] = target
        self.version += 1
        return ResultCode.OK, self.version


def command_for(changes, expected):
    """Return the command for a step."""
    parts = []
    for name, kept, target in changes:
        if kept:
            parts.append(ConfigurationChange(work_class=ClassSpec(name, target)))
        else:
            parts.append(ConfigurationChange(remove=f"class/{name}"))
    return ApplyConfiguration(tuple(parts), expected)


class DifferentialTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.lists(STEPS, max_size=25))
    def test_same_results_and_contents_as_a_dict(self, steps):
        """Resends, conflicts and restarts have the effect that a dict shows.

        A step may restart the replica from its snapshot.
        """
        machine = StateMachine()
        plain = PlainStore()
        for number, (identity, changes, expected, restart) in enumerate(steps, 1):
            command = command_for(changes, expected)
            record = LogRecord(identity, float(number), command)
            result = machine.apply(number, encode_record(record))
            code, version = plain.apply(identity, changes, expected)
            self.assertEqual(result.code, code)
            if version is not None:
                self.assertEqual(result.version, version)
            if restart:
                restored = StateMachine()
                restored.restore(machine.snapshot())
                machine = restored
            found = {}
            for name, spec in machine.configuration.class_by_name.items():
                found[name] = spec.within_s
            self.assertEqual(found, plain.target_by_class)
            self.assertEqual(machine.configuration.version, plain.version)
