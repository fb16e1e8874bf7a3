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
        """Guards against a wrong owner and against accepted unknown tokens."""
        self.assertEqual(self.index.owner_of("token-407"), "account-407")
        self.assertIsNone(self.index.owner_of("token-410"))
        self.assertIsNone(self.index.owner_of(""))

    def test_equal_first_half_of_the_digest_is_not_enough(self):
        """Guards against comparing only the half that is the lookup key."""
        digest = hash_token("right")
        index = TokenIndex()
        index.add(digest[:32] + "0" * 32, "account")
        self.assertIsNone(index.owner_of("right"))

    def test_lookup_needs_one_comparison(self):
        """Guards against a cost that grows with the number of accounts."""
        with mock.patch.object(
            tokens.hmac, "compare_digest", wraps=tokens.hmac.compare_digest
        ) as compare_digest:
            self.index.owner_of("token-1")
        self.assertEqual(compare_digest.call_count, 1)
