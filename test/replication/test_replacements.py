"""Tests of a group whose members are replaced."""

import itertools
import unittest

from persimmonyard.replication import least_voters, removable_member
from persimmonyard.replication.leader_state import LeaderState, Progress
from persimmonyard.replication.messages import Members
from test.replication.replacements import ReplacementRun

SEEDS = range(1, 41)
NAMES = "abcdefghi"


class ReplacementTests(unittest.TestCase):
    def test_replaced_members_leave_a_group_that_tolerates_two_lost_disks(self):
        """Guards against a group that later losses end for good.

        Instances are replaced, frozen, cut off, restarted and wiped, two at a
        time.  Once none counts as lost any more, two lose their disks.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = ReplacementRun(seed)
                run.run(3.0)
                run.play(30.0)
                self.assertEqual("", run.lose_disks())


class RemovalDecisionTests(unittest.TestCase):
    def test_removals_never_leave_too_few_voters(self):
        """Guards against a group that shrinks while members are frozen.

        If two of five were removed, two lost disks of the other three would
        leave no quorum.
        """
        for voter_count, tolerated_losses in itertools.product(range(1, 10), range(4)):
            members = Members(dict.fromkeys(NAMES[:voter_count], "0"), {"z": ""})
            for silent_count in range(voter_count):
                silent = NAMES[:silent_count]
                name = removable_member(members, silent, tolerated_losses)
                needed = least_voters(tolerated_losses)
                if name is None:
                    self.assertTrue(not silent or voter_count <= needed)
                    continue
                left = members.without(name)
                self.assertEqual(silent[0], name)
                self.assertGreaterEqual(len(left.voters), needed)

    def test_only_replaced_voters_are_removed(self):
        """Guards against dead voters that count toward the quorum for good."""
        for voter_count, silent, tolerated_losses, expected in (
            (7, "ab", 2, "a"),
            (7, "ba", 2, "b"),
            (6, "b", 2, "b"),
            (6, "", 2, None),
            (6, "x", 2, None),
            (5, "ab", 2, None),
            (4, "a", 2, None),
            (4, "a", 1, "a"),
            (3, "a", 1, None),
            (3, "a", 0, None),
        ):
            with self.subTest(f"{voter_count} voters, {silent}, {tolerated_losses}"):
                members = Members(dict.fromkeys(NAMES[:voter_count], "0"))
                name = removable_member(members, silent, tolerated_losses)
                self.assertEqual(expected, name)

    def test_silent_learner_is_removed_from_a_group_of_any_size(self):
        """Guards against learners that are gone for good and stay members."""
        members = Members(dict.fromkeys("abc", "0"), {"d": ""})
        self.assertEqual("d", removable_member(members, ["a", "d"], 1))


class SilenceTests(unittest.TestCase):
    def test_longest_silent_member_goes_first(self):
        """Guards against removing a process that restarts before a dead one.

        A member that was added a moment ago has not had time to answer.
        """
        state = LeaderState("a", first_index=1, elected_at=10.0)
        members = Members(dict.fromkeys("abcde", "0"), {"f": "", "g": ""})
        for name, acked_sent_at in (("b", 16.0), ("c", 11.0), ("d", 5.0), ("e", None)):
            state.progress_by_name[name] = Progress("0", 1, acked_sent_at=acked_sent_at)
        state.progress_by_name["f"] = Progress("", 1, added_at=14.0)
        state.progress_by_name["g"] = Progress("", 1, added_at=15.5)
        silent = state.silent_members(members, 15.0)
        self.assertEqual(["d", "e", "c", "f"], silent)
        self.assertEqual(["d", "e"], state.silent_members(members, 10.5))
