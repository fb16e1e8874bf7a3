"""Messages between persimmonyard processes."""
