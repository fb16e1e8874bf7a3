"""A replicated log and the storage under it."""
