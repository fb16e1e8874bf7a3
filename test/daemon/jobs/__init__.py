"""Tests of the job roles."""
