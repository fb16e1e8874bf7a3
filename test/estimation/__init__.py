"""Tests of the estimation package."""
