"""Prints the configuration of a citronseam deployment.

Each class is one part of the configuration. ``Deployment.to_yaml`` gives the text that
``citronseam config check`` reads. The classes check types and names, so that a mistake shows where
it was made; ``citronseam config check`` has the last word.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Dict, List, Optional, Union

Value = Union[str, int, bool]


class ConfigurationError(ValueError):
    """A part of the configuration that cannot be printed."""


def _scalar(value: Value) -> str:
    """Prints one value as YAML; texts that could be read as something else are quoted."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int):
        return str(value)
    plain = value and all(letter.isalnum() or letter in "-_./" for letter in value)
    if plain and value.lower() not in ("true", "false", "null", "yes", "no"):
        return value
    if "\n" in value:
        raise ConfigurationError(f"a text must stand on one line: {value!r}")
    return "'" + value.replace("'", "''") + "'"


def _fields(values: Dict[str, Optional[Value]], indent: str) -> List[str]:
    return [f"{indent}{key}: {_scalar(value)}" for key, value in values.items() if value is not None]


def _require_unit(name: str, text: Optional[str], units: tuple) -> None:
    if text is not None and not text.endswith(units):
        raise ConfigurationError(f"{name} needs a unit out of {', '.join(units)}: {text!r}")


_DURATIONS = ("ms", "s", "m", "h")
_RATES = ("kbit/s", "Mbit/s", "Gbit/s")


@dataclass
class Region:
    """Availability zones joined by fast links. ``link_rate`` holds towards other regions."""

    name: str
    link_rate: Optional[str] = None

    def lines(self) -> List[str]:
        _require_unit("link_rate", self.link_rate, _RATES)
        lines = [f"  - name: {_scalar(self.name)}"]
        return lines + _fields({"link_rate": self.link_rate}, "    ")


@dataclass
class AvailabilityZone:
    """An availability zone; ``in_service=False`` keeps new work away."""

    name: str
    region: str
    in_service: bool = True

    def lines(self) -> List[str]:
        lines = [f"  - name: {_scalar(self.name)}"]
        return lines + _fields({"region": self.region, "in_service": self.in_service}, "    ")


@dataclass
class Workspace:
    """A customer's share: ``weight`` relative to others, ``queue_limit`` requests that may wait."""

    name: str
    weight: int = 1
    queue_limit: int = 64

    def lines(self) -> List[str]:
        lines = [f"  - name: {_scalar(self.name)}"]
        return lines + _fields({"weight": self.weight, "queue_limit": self.queue_limit}, "    ")


@dataclass
class Limits:
    """Bounds of a service. Durations carry a unit, as in ``30s``."""

    cold_concurrency: int = 1
    max_concurrency: int = 16
    queue_limit: int = 256
    request_timeout: str = "30s"
    retry_percent: int = 10
    result_retention: str = "24h"

    def lines(self) -> List[str]:
        _require_unit("request_timeout", self.request_timeout, _DURATIONS)
        _require_unit("result_retention", self.result_retention, _DURATIONS)
        if self.cold_concurrency > self.max_concurrency:
            raise ConfigurationError("cold_concurrency must not be larger than max_concurrency")
        return ["    limits:"] + _fields(dict(self.__dict__), "      ")


@dataclass
class Rollout:
    """Bounds of putting a model version in force."""

    parallel_per_zone: int = 1
    origin_rate: Optional[str] = None
    peer_rate: Optional[str] = None

    def lines(self) -> List[str]:
        _require_unit("origin_rate", self.origin_rate, _RATES)
        _require_unit("peer_rate", self.peer_rate, _RATES)
        return ["    rollout:"] + _fields(dict(self.__dict__), "      ")


@dataclass
class Rule:
    """Says whether requests with this method and path may be repeated."""

    method: str
    path: str
    idempotent: bool

    def lines(self) -> List[str]:
        if not self.path.startswith("/"):
            raise ConfigurationError(f"a path starts with '/': {self.path!r}")
        method = "'*'" if self.method == "*" else self.method
        return [f"      - method: {method}"] + _fields(
            {"path": self.path, "idempotent": self.idempotent}, "        ")


@dataclass
class Service:
    """Backend servers that answer the same requests; ``kind`` is ``engine`` or ``plain``."""

    name: str
    kind: str
    model_version: Optional[str] = None
    fencing: Optional[str] = None
    limits: Limits = field(default_factory=Limits)
    rollout: Optional[Rollout] = None
    rules: List[Rule] = field(default_factory=list)

    def lines(self) -> List[str]:
        if self.kind not in ("engine", "plain"):
            raise ConfigurationError(f"kind is 'engine' or 'plain': {self.kind!r}")
        lines = [f"  - name: {_scalar(self.name)}"]
        lines += _fields({"kind": self.kind, "model_version": self.model_version,
                          "fencing": self.fencing}, "    ")
        lines += self.limits.lines()
        if self.rollout is not None:
            lines += self.rollout.lines()
        if self.rules:
            lines.append("    idempotency:")
            for rule in self.rules:
                lines += rule.lines()
        return lines


@dataclass
class Deployment:
    """A whole deployment."""

    name: str
    regions: List[Region]
    availability_zones: List[AvailabilityZone]
    workspaces: List[Workspace]
    services: List[Service]
    when_isolated: Optional[str] = None

    def _check(self) -> None:
        regions = {region.name for region in self.regions}
        for zone in self.availability_zones:
            if zone.region not in regions:
                raise ConfigurationError(f"zone {zone.name} names an unknown region {zone.region}")
        for part in (self.regions, self.availability_zones, self.workspaces, self.services):
            names = [item.name for item in part]
            for name in names:
                if names.count(name) > 1:
                    raise ConfigurationError(f"the name {name} stands twice")

    def to_yaml(self) -> str:
        """Returns the configuration as text."""
        self._check()
        lines = [f"deployment: {_scalar(self.name)}"]
        if self.when_isolated is not None:
            lines += ["evidence:", f"  when_isolated: {self.when_isolated}"]
        for title, part in (("regions", self.regions),
                            ("availability_zones", self.availability_zones),
                            ("workspaces", self.workspaces), ("services", self.services)):
            if part:
                lines.append(f"{title}:")
            for item in part:
                lines += item.lines()
        return "\n".join(lines) + "\n"
