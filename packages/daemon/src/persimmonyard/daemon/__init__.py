"""The entry and control processes, and what they share."""
