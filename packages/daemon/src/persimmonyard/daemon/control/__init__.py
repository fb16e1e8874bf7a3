"""The control role: the replicated state and the controllers acting on it."""
