"""Differential test of the state machine against a reference model."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonyard.model import ConfigurationChange, ResultCode, WorkClassSpec
from persimmonyard.state import StateMachine
from persimmonyard.state.commands import ApplyConfiguration, LogRecord, encode_record

NAME = st.sampled_from(["a", "b", "c"])
WITHIN_S = st.none() | st.integers(1, 3).map(float)
STEP = st.tuples(
    st.sampled_from(["", "op-1", "op-2", "op-3"]),
    st.lists(st.tuples(NAME, st.booleans(), WITHIN_S), min_size=1, max_size=3),
    st.none() | st.integers(0, 6),
    st.booleans(),
)


class ReferenceModel:
    """A reference model: a dict of classes and a dict of cached results."""

    def __init__(self):
        self.version = 0
        self.within_s_by_class = {}
        self.result_by_identity = {}

    def apply(self, identity, changes, expected):
        """Apply changes at most once and return the code and the version."""
        command = command_for(changes, expected)
        if identity in self.result_by_identity:
            first_command, result = self.result_by_identity[identity]
            return result if first_command == command else (ResultCode.KEY_REUSED, None)
        result = self.apply_new(changes, expected)
        if identity:
            self.result_by_identity[identity] = (command, result)
        return result

    def apply_new(self, changes, expected):
        if expected not in (None, self.version):
            return ResultCode.VERSION_CONFLICT, self.version
        for name, present, within_s in changes:
            self.within_s_by_class.pop(name, None)
            if present:
                self.within_s_by_class[name] = within_s
        self.version += 1
        return ResultCode.OK, self.version


def command_for(changes, expected):
    """Return the command for a step."""
    configuration_changes = []
    for name, present, within_s in changes:
        if present:
            configuration_changes.append(
                ConfigurationChange(work_class=WorkClassSpec(name, within_s))
            )
        else:
            configuration_changes.append(ConfigurationChange(remove=f"class/{name}"))
    return ApplyConfiguration(tuple(configuration_changes), expected)


class DifferentialTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.lists(STEP, max_size=25))
    def test_results_and_contents_equal_the_reference_model(self, steps):
        """Guards against wrong results of resends and version conflicts.

        Random steps reuse identities and expected versions, and some restart
        the replica from a snapshot.  Codes, versions and contents must equal
        those of the reference model after each step.
        """
        machine = StateMachine()
        reference = ReferenceModel()
        for number, (identity, changes, expected, restart) in enumerate(steps, 1):
            command = command_for(changes, expected)
            record = LogRecord(identity, float(number), command)
            result = machine.apply(number, encode_record(record))
            code, version = reference.apply(identity, changes, expected)
            self.assertEqual(result.code, code)
            if version is not None:
                self.assertEqual(result.version, version)
            if restart:
                restored = StateMachine()
                restored.restore(machine.snapshot())
                machine = restored
            within_s_by_class = {}
            for name, spec in machine.configuration.class_by_name.items():
                within_s_by_class[name] = spec.within_s
            self.assertEqual(within_s_by_class, reference.within_s_by_class)
            self.assertEqual(machine.configuration.version, reference.version)
