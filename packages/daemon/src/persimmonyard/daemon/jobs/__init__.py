"""Roles that accept, place and supervise jobs of several steps."""
