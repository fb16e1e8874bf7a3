"""The entry role: callers' HTTP, announcements and dispatch."""
