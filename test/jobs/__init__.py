"""Tests of the package jobs."""
