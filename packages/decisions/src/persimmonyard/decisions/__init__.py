"""Scheduling decisions on facts, without a store, a clock or a network."""

__all__: list[str] = []
