"""Tests of the decisions package."""
