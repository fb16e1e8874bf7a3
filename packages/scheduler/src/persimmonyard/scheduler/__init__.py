"""Decisions about placement, preemption and guarantees."""
