"""Structural rules of a valid document, checked by every replica.

These checks are cheap and deterministic, so the replicated state repeats them. `schema` checks the types of
the other fields; it costs more and runs once, before an order is proposed.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import Any, TypeGuard

from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.document import LIMITS, ROUTES, SERVICES, TENANTS, VERSION, Document
from firvane.fleet.configuration.orders import MAX_PROBLEMS, MAX_VERSION, Problem

NOT_A_NON_EMPTY_STRING = "must be a text that is not empty"
MAX_WEIGHT = 1e300  # keeps a sum of weights finite


def find_problems(
    document: Document, current_version: int, accepted: Document | None = None
) -> list[Problem]:
    """Return at most `MAX_PROBLEMS` problems of a document that is to replace the version in force.

    `accepted` is the valid document in force. Of routes that are the same objects in it, only the names,
    hosts and prefixes are checked again, unless a service was removed.
    """
    return list(islice(_all_problems(document, current_version, accepted or {}), MAX_PROBLEMS))


def _all_problems(document: Document, current_version: int, accepted: Document) -> Iterator[Problem]:
    yield from _version_problems(document.get(VERSION), current_version)
    for key in (ROUTES, SERVICES):
        if key not in document:
            yield Problem(ResultCode.MISSING_FIELD, key, "must be there")
        elif not isinstance(document[key], list):
            yield Problem(ResultCode.WRONG_TYPE, key, "must be a list")
    if not isinstance(document.get(LIMITS, {}), dict):
        yield Problem(ResultCode.WRONG_TYPE, LIMITS, "must be an object")
    yield from _tenant_problems(document.get(TENANTS))
    services, routes = document.get(SERVICES), document.get(ROUTES)
    if isinstance(services, list) and isinstance(routes, list):
        yield from _item_problems(services, routes, accepted)


def _item_problems(services: list[Any], routes: list[Any], accepted: Document) -> Iterator[Problem]:
    yield from _name_problems(SERVICES, services)
    yield from _name_problems(ROUTES, routes)
    service_names = {service["name"] for service in services if _has_name(service)}
    yield from _duplicate_route_problems(routes)
    unchanged = _valid_routes(accepted, service_names)
    for position, route in enumerate(routes):
        if isinstance(route, dict) and id(route) not in unchanged:
            yield from _route_problems(route, item_place(ROUTES, position, route), service_names)


def _valid_routes(accepted: Document, services: set[str]) -> set[int]:
    """The `id()`s of routes that are known to be valid with these services."""
    before = {service["name"] for service in accepted.get(SERVICES, ())}
    return {id(route) for route in accepted.get(ROUTES, ())} if before <= services else set()


def _version_problems(version: Any, current: int) -> Iterator[Problem]:
    if version is None:
        yield Problem(ResultCode.MISSING_FIELD, VERSION, "must be there")
    elif type(version) is not int:
        yield Problem(ResultCode.WRONG_TYPE, VERSION, "must be a whole number")
    elif version > MAX_VERSION:
        yield Problem(ResultCode.OUT_OF_RANGE, VERSION, f"must not be above {MAX_VERSION}")
    elif version <= current:
        yield Problem(ResultCode.VERSION_NOT_ABOVE, VERSION, f"{version} is not above {current}")


def item_place(key: str, position: int, item: Any) -> str:
    """Return the place of an item for a `Problem`: by name, or by position if it has no name."""
    return f"{key}[{item['name']}]" if _has_name(item) else f"{key}[{position}]"


def is_number(value: Any) -> TypeGuard[int | float]:
    """Whether a value is a JSON number; `true` and `false` are not."""
    return type(value) is int or type(value) is float


def _has_name(item: Any) -> bool:
    return isinstance(item, dict) and isinstance(item.get("name"), str) and item["name"] != ""


def _name_problems(key: str, items: list[Any]) -> Iterator[Problem]:
    seen: set[str] = set()
    for position, item in enumerate(items):
        if not isinstance(item, dict):
            yield Problem(ResultCode.WRONG_TYPE, f"{key}[{position}]", "must be an object")
        elif not _has_name(item):
            yield Problem(ResultCode.MISSING_FIELD, f"{key}[{position}].name", NOT_A_NON_EMPTY_STRING)
        elif item["name"] in seen:
            yield Problem(ResultCode.DUPLICATE_NAME, item_place(key, position, item), "comes twice")
        else:
            seen.add(item["name"])


def _tenant_problems(tenants: Any) -> Iterator[Problem]:
    """Yield the problems of the list of tenants; null counts as absent."""
    if tenants is None:
        return
    if not isinstance(tenants, list):
        yield Problem(ResultCode.WRONG_TYPE, TENANTS, "must be a list")
        return
    yield from _name_problems(TENANTS, tenants)
    position_by_key: dict[str, int] = {}
    for position, tenant in enumerate(tenants):
        keys = tenant.get("api_keys") if isinstance(tenant, dict) else None
        for key in keys if isinstance(keys, list) else ():
            first = position_by_key.setdefault(key, position) if isinstance(key, str) else position
            if first != position:
                other = item_place(TENANTS, first, tenants[first])
                place = item_place(TENANTS, position, tenant)
                yield Problem(ResultCode.SHARED_KEY, place, f"a key is that of {other} too")


def _duplicate_route_problems(routes: list[Any]) -> Iterator[Problem]:
    seen: dict[tuple[str, str], int] = {}
    for position, route in enumerate(routes):
        if not isinstance(route, dict):
            continue
        host, prefix = route.get("host"), route.get("path_prefix")
        if not isinstance(host, str) or not isinstance(prefix, str):
            continue
        first = seen.setdefault((host.lower(), prefix), position)
        if first != position:
            place, other = item_place(ROUTES, position, route), item_place(ROUTES, first, routes[first])
            yield Problem(ResultCode.DUPLICATE_PLACE, place, f"{host}{prefix} is that of {other} too")


def _route_problems(route: Document, place: str, services: set[str]) -> Iterator[Problem]:
    for field in ("host", "path_prefix"):
        if not (isinstance(route.get(field), str) and route[field]):
            yield Problem(ResultCode.MISSING_FIELD, f"{place}.{field}", NOT_A_NON_EMPTY_STRING)
    prefix = route.get("path_prefix")
    if isinstance(prefix, str) and prefix and not (prefix[0] == "/" and prefix[-1] == "/"):
        detail = f"{prefix!r} must begin and end with a slash"
        yield Problem(ResultCode.BAD_PATH_PREFIX, f"{place}.path_prefix", detail)
    timeout = route.get("timeout_ms")
    if not is_number(timeout) or not timeout > 0:
        yield Problem(ResultCode.NO_TIMEOUT, f"{place}.timeout_ms", "must be a number above 0")
    yield from _target_problems(route, place, services)


def _target_problems(route: Document, place: str, services: set[str]) -> Iterator[Problem]:
    service, split = route.get("service"), route.get("weighted_split")
    if service is None and split is None:
        yield Problem(ResultCode.NO_TARGET, place, "needs `service` or `weighted_split`")
    elif service is not None and split:
        yield Problem(ResultCode.TWO_TARGETS, place, "has both `service` and `weighted_split`")
    elif service is not None:
        yield from _service_problems(service, f"{place}.service", services)
    elif not isinstance(split, list):
        yield Problem(ResultCode.WRONG_TYPE, f"{place}.weighted_split", "must be a list")
    else:
        yield from _split_problems(split, f"{place}.weighted_split", services)


def _service_problems(service: Any, place: str, services: set[str]) -> Iterator[Problem]:
    if not isinstance(service, str):
        yield Problem(ResultCode.WRONG_TYPE, place, "must be the name of a service")
    elif service not in services:
        yield Problem(ResultCode.UNKNOWN_SERVICE, place, f"{service!r} is not among the services")


def _split_problems(split: list[Any], place: str, services: set[str]) -> Iterator[Problem]:
    total = 0.0
    for position, part in enumerate(split):
        part_place = f"{place}[{position}]"
        if not isinstance(part, dict):
            yield Problem(ResultCode.WRONG_TYPE, part_place, "must be an object")
            continue
        yield from _service_problems(part.get("service"), f"{part_place}.service", services)
        weight = part.get("weight")
        if not is_number(weight):
            yield Problem(ResultCode.WRONG_TYPE, f"{part_place}.weight", "must be a number")
        elif weight < 0:
            yield Problem(ResultCode.OUT_OF_RANGE, f"{part_place}.weight", "must not be below 0")
        else:
            total += float(min(weight, MAX_WEIGHT))
    if total == 0:
        yield Problem(ResultCode.NO_WEIGHT, place, "the weights sum to 0")
