"""A stand-in upstream and a demonstration deployment."""
