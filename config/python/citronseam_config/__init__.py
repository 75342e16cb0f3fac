"""Generates the configuration of a citronseam deployment.

Each class is one section of the configuration. ``Deployment.to_yaml`` returns the text that
``citronseam config check`` reads. The classes check units and names early, so that an error points
to the program's own code; the check by ``citronseam config check`` is authoritative.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Dict, List, Optional, Union

Value = Union[str, int, bool]


class ConfigurationError(ValueError):
    """A section of the configuration has an invalid value."""


def _scalar(value: Value) -> str:
    """Formats a value as a YAML scalar; quotes strings that YAML could read as another type."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int):
        return str(value)
    is_plain = value and all(char.isalnum() or char in "-_./" for char in value)
    if is_plain and value.lower() not in ("true", "false", "null", "yes", "no"):
        return value
    if "\n" in value:
        raise ConfigurationError(f"a string must not contain a line break: {value!r}")
    return "'" + value.replace("'", "''") + "'"


def _fields(values: Dict[str, Optional[Value]], indent: str) -> List[str]:
    return [f"{indent}{key}: {_scalar(value)}" for key, value in values.items() if value is not None]


def _require_unit(name: str, text: Optional[str], units: tuple) -> None:
    if text is not None and not text.endswith(units):
        raise ConfigurationError(f"{name} needs one of the units {', '.join(units)}: {text!r}")


_DURATIONS = ("ms", "s", "m", "h")
_RATES = ("kbit/s", "Mbit/s", "Gbit/s")


@dataclass
class Region:
    """A group of availability zones with fast links. ``link_rate`` limits links to other regions."""

    name: str
    link_rate: Optional[str] = None

    def lines(self) -> List[str]:
        _require_unit("link_rate", self.link_rate, _RATES)
        lines = [f"  - name: {_scalar(self.name)}"]
        return lines + _fields({"link_rate": self.link_rate}, "    ")


@dataclass
class AvailabilityZone:
    """An availability zone. With ``in_service=False`` it receives no new requests."""

    name: str
    region: str
    in_service: bool = True

    def lines(self) -> List[str]:
        lines = [f"  - name: {_scalar(self.name)}"]
        return lines + _fields({"region": self.region, "in_service": self.in_service}, "    ")


@dataclass
class Workspace:
    """A customer's workspace: ``weight`` is its relative share of capacity, ``queue_limit`` the
    maximum number of its waiting requests.
    """

    name: str
    weight: int = 1
    queue_limit: int = 64

    def lines(self) -> List[str]:
        lines = [f"  - name: {_scalar(self.name)}"]
        return lines + _fields({"weight": self.weight, "queue_limit": self.queue_limit}, "    ")


@dataclass
class Limits:
    """Limits of a service. Durations have a unit, as in ``30s``."""

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
    """Limits of the rollout of a model version."""

    parallel_per_zone: int = 1
    origin_rate: Optional[str] = None
    peer_rate: Optional[str] = None

    def lines(self) -> List[str]:
        _require_unit("origin_rate", self.origin_rate, _RATES)
        _require_unit("peer_rate", self.peer_rate, _RATES)
        return ["    rollout:"] + _fields(dict(self.__dict__), "      ")


@dataclass
class Rule:
    """Whether requests with this method and path are idempotent, so that they may be repeated."""

    method: str
    path: str
    idempotent: bool

    def lines(self) -> List[str]:
        if not self.path.startswith("/"):
            raise ConfigurationError(f"path must start with '/': {self.path!r}")
        method = "'*'" if self.method == "*" else self.method
        return [f"      - method: {method}"] + _fields(
            {"path": self.path, "idempotent": self.idempotent}, "        ")


@dataclass
class Service:
    """A set of interchangeable backend servers. ``kind`` is ``engine`` or ``plain``."""

    name: str
    kind: str
    model_version: Optional[str] = None
    fencing: Optional[str] = None
    limits: Limits = field(default_factory=Limits)
    rollout: Optional[Rollout] = None
    rules: List[Rule] = field(default_factory=list)

    def lines(self) -> List[str]:
        if self.kind not in ("engine", "plain"):
            raise ConfigurationError(f"kind must be 'engine' or 'plain': {self.kind!r}")
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
                raise ConfigurationError(f"unknown region {zone.region} of zone {zone.name}")
        for section in (self.regions, self.availability_zones, self.workspaces, self.services):
            names = [item.name for item in section]
            for name in names:
                if names.count(name) > 1:
                    raise ConfigurationError(f"duplicate name {name}")

    def to_yaml(self) -> str:
        """Returns the configuration as YAML text. Raises ``ConfigurationError`` if it is invalid."""
        self._check()
        lines = [f"deployment: {_scalar(self.name)}"]
        if self.when_isolated is not None:
            lines += ["evidence:", f"  when_isolated: {self.when_isolated}"]
        for key, section in (("regions", self.regions),
                            ("availability_zones", self.availability_zones),
                            ("workspaces", self.workspaces), ("services", self.services)):
            if section:
                lines.append(f"{key}:")
            for item in section:
                lines += item.lines()
        return "\n".join(lines) + "\n"
