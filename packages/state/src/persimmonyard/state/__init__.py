"""The replicated state machine and its commands."""

from persimmonyard.state.configuration import Configuration
from persimmonyard.state.machine import ChangeEvent, ChangeKind, StateMachine

__all__ = ["ChangeEvent", "ChangeKind", "Configuration", "StateMachine"]
