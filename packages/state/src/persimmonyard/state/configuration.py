"""The configuration part of the replicated state."""

from dataclasses import dataclass, field

from persimmonyard.model import (
    ClientAccountSpec,
    ConfigurationChange,
    WorkClassSpec,
    ZoneSpec,
)

__all__ = ["Configuration"]


@dataclass
class Configuration:
    """The zones, work classes and client accounts that operators have set.

    ``version`` only increases.
    """

    version: int = 0
    zone_by_name: dict[str, ZoneSpec] = field(default_factory=dict)
    class_by_name: dict[str, WorkClassSpec] = field(default_factory=dict)
    client_account_by_name: dict[str, ClientAccountSpec] = field(default_factory=dict)

    def apply(self, change: ConfigurationChange) -> None:
        """Set or remove the item in ``change``."""
        if change.zone is not None:
            self.zone_by_name[change.zone.name] = change.zone
        if change.work_class is not None:
            self.class_by_name[change.work_class.name] = change.work_class
        if change.client_account is not None:
            account = change.client_account
            self.client_account_by_name[account.name] = account
        if change.remove is not None:
            self._remove(change.remove)

    def _remove(self, item: str) -> None:
        kind, _, name = item.partition("/")
        match kind:
            case "zone":
                self.zone_by_name.pop(name, None)
            case "class":
                self.class_by_name.pop(name, None)
            case "account":
                self.client_account_by_name.pop(name, None)

    def zone_in_service(self, name: str) -> bool:
        """Return whether work may start in a zone.

        A zone that is not configured counts as in service.
        """
        zone = self.zone_by_name.get(name)
        return zone is None or zone.in_service

    def as_changes(self) -> list[ConfigurationChange]:
        """Return changes that rebuild this configuration from an empty one."""
        changes = []
        for zone in self.zone_by_name.values():
            changes.append(ConfigurationChange(zone=zone))
        for work_class in self.class_by_name.values():
            changes.append(ConfigurationChange(work_class=work_class))
        for account in self.client_account_by_name.values():
            changes.append(ConfigurationChange(client_account=account))
        return changes
