"""Tests of persimmonyard.daemon.tokens."""

import unittest
from unittest import mock

from persimmonyard.daemon import tokens
from persimmonyard.daemon.tokens import TokenIndex, hash_token


class TokenIndexTests(unittest.TestCase):
    def setUp(self):
        self.index = TokenIndex()
        for number in range(410):
            self.index.add(hash_token(f"token-{number}"), f"account-{number}")

    def test_owner_is_found_and_others_are_not(self):
        """Each token has its owner; a wrong one has none."""
        self.assertEqual(self.index.owner_of("token-407"), "account-407")
        self.assertIsNone(self.index.owner_of("token-410"))
        self.assertIsNone(self.index.owner_of(""))

    def test_same_first_half_is_not_enough(self):
        """A digest that differs only in its second half is refused."""
        digest = hash_token("right")
        index = TokenIndex()
        index.add(digest[:32] + "0" * 32, "account")
        self.assertIsNone(index.owner_of("right"))

    def test_one_hash_and_one_comparison_for_each_call(self):
        """The cost does not grow with the number of accounts."""
        with mock.patch.object(
            tokens.hmac, "compare_digest", wraps=tokens.hmac.compare_digest
        ) as compare:
            self.index.owner_of("token-1")
        self.assertEqual(compare.call_count, 1)
