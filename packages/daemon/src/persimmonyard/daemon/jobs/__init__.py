"""Process roles that accept, place and supervise multi-step jobs."""
