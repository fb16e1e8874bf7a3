"""The control role: replicated state and the controllers on top of it."""
