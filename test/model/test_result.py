"""Tests of persimmonyard.model.result."""

import unittest

from persimmonyard.model import PersimmonyardError, ResultCode


class ResultCodeTests(unittest.TestCase):
    def test_error_carries_code_and_field(self):
        """Guards against errors without the code and field for the caller."""
        error = PersimmonyardError(ResultCode.BAD_FIELD, "not a number", "gang")
        self.assertEqual((error.code, error.field), (101, "gang"))
