"""The entry and control processes."""
