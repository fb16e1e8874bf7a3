"""The entry role: the HTTP API, announcements of upstreams, and dispatch."""
