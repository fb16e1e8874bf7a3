"""The replicated state and the commands that change it."""

from persimmonyard.state.configuration import Configuration
from persimmonyard.state.machine import Change, ChangeKind, StateMachine

__all__ = ["Change", "ChangeKind", "Configuration", "StateMachine"]
