"""Random orders against a simple model: repeated orders, races, snapshots, and decoding by routers."""

from __future__ import annotations

import copy
import json
import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.fleet.configuration.checker import Checker
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.item import read_item
from firvane.fleet.configuration.orders import Order, OrderKind, Result
from firvane.fleet.configuration.state import ConfigurationState
from tests.fleet.configuration.documents import LIMITS, make_document, route, service, split

Document = dict[str, Any]


class Model:
    """A reference implementation of the rules of the configuration, without regard to speed."""

    def __init__(self) -> None:
        self.document: Document = {}
        self.version = 0
        self.applied: set[tuple[OrderKind, int, bytes]] = set()

    def expect(self, order: Order) -> ResultCode:
        if (order.kind, order.base, order.body) in self.applied:
            return ResultCode.REPEATED
        if order.base != self.version:
            return ResultCode.CONFLICT
        document = self.build(order)
        if document is None or not self.is_valid(document):
            return ResultCode.INVALID
        self.document, self.version = document, document["config_version"]
        self.applied.add((order.kind, order.base, order.body))
        return ResultCode.ACCEPTED

    def build(self, order: Order) -> Document | None:
        try:
            body = json.loads(order.body)
        except ValueError:
            return None
        if order.kind is OrderKind.REPLACE:
            return body if isinstance(body, dict) else None
        document = copy.deepcopy(self.document)
        document["config_version"] = body.get("config_version")
        document.update({key: body[key] for key in body if key not in ("upsert", "remove")})
        upsert, remove = body.get("upsert", {}), body.get("remove", {})
        if any(item["name"] in remove.get(key, []) for key in upsert for item in upsert[key]):
            return None
        for key, removed in remove.items():
            if key in document:
                document[key] = [item for item in document[key] if item["name"] not in removed]
        for key, items in upsert.items():
            self.upsert(document.setdefault(key, []), items)
        return document

    @staticmethod
    def upsert(present: list[Document], items: list[Document]) -> None:
        for item in items:
            for position, known in enumerate(present):
                if known["name"] == item["name"]:
                    present[position] = item
                    break
            else:
                present.append(item)

    def is_valid(self, document: Document) -> bool:
        version = document.get("config_version")
        if not isinstance(version, int) or version <= self.version:
            return False
        if "routes" not in document or "services" not in document:
            return False
        services = [each["name"] for each in document["services"]]
        places = [(each["host"].lower(), each["path_prefix"]) for each in document["routes"]]
        names = [each["name"] for each in document["routes"]]
        if any(len(set(keys)) < len(keys) for keys in (services, places, names)):
            return False
        return all(self.is_valid_route(each, services) for each in document["routes"])

    @staticmethod
    def is_valid_route(fields: Document, services: list[str]) -> bool:
        targets = fields.get("weighted_split") or [{"service": fields.get("service"), "weight": 1}]
        known = all(target["service"] in services for target in targets)
        return known and sum(target["weight"] for target in targets) > 0 and fields.get("timeout_ms", 0) > 0


class Operator:
    """Draws orders: valid ones, invalid ones, ones with the same base, and repeated ones."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.sent: list[Order] = []

    def order(self, version: int) -> Order:
        if self.sent and self.random.random() < 0.25:
            return self.random.choice(self.sent)
        base = version if self.random.random() < 0.85 else max(0, version + self.random.choice((-3, -1, 1)))
        kind = self.random.choice(list(OrderKind))
        body = self.replacement(base) if kind is OrderKind.REPLACE else self.change(base)
        text = json.dumps(body).encode()
        if self.random.random() < 0.05:
            text = text[: self.random.randrange(len(text))]
        self.sent.append(Order(kind, base, text))
        return self.sent[-1]

    def replacement(self, base: int) -> Document:
        routes = [self.route(name) for name in self.names("abcdef", 3)]
        services = [service(name) for name in self.names(("writer", "reader", "painter"), 2)]
        document = make_document(self.version(base), routes=routes, services=services)
        if self.random.random() < 0.05:
            del document[self.random.choice(("routes", "services", "limits", "config_version"))]
        return document

    def change(self, base: int) -> Document:
        document: Document = {"config_version": self.version(base)}
        if self.random.random() < 0.8:
            document["upsert"] = {"routes": [self.route(name) for name in self.names("abcdefgh", 1)]}
            if self.random.random() < 0.3:
                document["upsert"]["services"] = [service(name) for name in self.names(("reader",), 1)]
        if self.random.random() < 0.5:
            document["remove"] = {"routes": self.names("abcdefgh", 1)}
            if self.random.random() < 0.2:
                document["remove"]["services"] = self.names(("reader", "painter"), 1)
        if self.random.random() < 0.2:
            document["limits"] = {**LIMITS, "idle_timeout_ms": self.random.randrange(1, 9)}
        return document

    def version(self, base: int) -> int:
        return base + self.random.choice((1, 1, 2, 5, 5, 0, -1))

    def names(self, choices: Any, at_least: int) -> list[str]:
        return self.random.sample(
            list(choices), self.random.randint(min(at_least, len(choices)), len(choices))
        )

    def route(self, name: str) -> Document:
        changes: Document = {"timeout_ms": self.random.choice((0, *range(1, 40)))}
        if self.random.random() < 0.05:
            changes["path_prefix"] = "/shared/"
        services = ["writer"] * 9 + ["reader"] * 3 + ["nobody"] * (self.random.random() < 0.1)
        if self.random.random() < 0.3:
            parts = [(self.random.choice(services), self.random.choice((0, 1, 9))) for _ in range(3)]
            return split(*parts, name=name, path_prefix=changes.pop("path_prefix", f"/{name}/"), **changes)
        return route(name, service=self.random.choice(services), **changes)


def play(seed: int, orders: int) -> Counter[ResultCode]:
    """Send orders to a state and to the model, sometimes reload the state, and count the results."""
    operator, model, state = Operator(seed), Model(), ConfigurationState()
    reloads = random.Random(-seed)
    results: Counter[ResultCode] = Counter()
    for index in range(orders):
        order = operator.order(state.version)
        checked = state.check(order)
        result = Result.unpack(state.apply(index, order.pack()))
        expected = model.expect(order)
        assert (checked.code, result.code) == (expected, expected), result
        assert state.version == model.version == result.version
        assert json.loads(state.document) == model.document
        results[expected] += 1
        if reloads.random() < 0.1:
            snapshot, state = state.save(), ConfigurationState()
            state.load(snapshot)
            assert state.save() == snapshot
    return results


def test_random_orders_have_the_results_of_the_model() -> None:
    results: Counter[ResultCode] = Counter()
    for seed in range(60):
        results += play(seed, orders=50)
    assert results[ResultCode.ACCEPTED] > 500
    assert results[ResultCode.INVALID] > 500
    assert results[ResultCode.CONFLICT] > 300
    assert results[ResultCode.REPEATED] > 100


@pytest.mark.parametrize("seed", range(10))
def test_replicas_agree_whether_they_replay_the_log_or_load_a_snapshot(seed: int) -> None:
    operator, leader = Operator(seed), ConfigurationState()
    log: list[bytes] = []
    results: list[bytes] = []
    cut, snapshot = 25, b""
    for index in range(50):
        log.append(operator.order(leader.version).pack())
        results.append(leader.apply(index, log[-1]))
        if index + 1 == cut:
            snapshot = leader.save()
    replayed, loaded = ConfigurationState(), ConfigurationState()
    assert [replayed.apply(index, record) for index, record in enumerate(log)] == results
    loaded.load(snapshot)
    assert [loaded.apply(index, record) for index, record in enumerate(log[cut:], cut)] == results[cut:]
    assert leader.save() == replayed.save() == loaded.save()


odd = st.sampled_from([None, True, 0, 1, -1, 1.5, 1.0, 2**53, 2**70, "", "x", [], {}, [1], {"a": 1}, "ü" * 9])
route_fields = st.sampled_from([*route(), "weighted_split", "unknown"])
service_fields = st.sampled_from(list(service()))
engine_fields = st.sampled_from([*service()["engine"], "unknown"])


@settings(max_examples=250, deadline=None)
@given(
    routes=st.dictionaries(route_fields, odd, max_size=2),
    services=st.dictionaries(service_fields, odd, max_size=1),
    engines=st.dictionaries(engine_fields, odd, max_size=2),
    limits=st.one_of(odd, st.dictionaries(st.sampled_from(list(LIMITS)), odd)),
)
def test_accepted_documents_can_be_decoded_by_routers(
    routes: Document, services: Document, engines: Document, limits: Any
) -> None:
    altered = {**service("reader", engine={**service()["engine"], **engines}), **services}
    document = make_document(3, routes=[{**route(), **routes}], services=[service(), altered], limits=limits)
    state = ConfigurationState()
    order = Order(OrderKind.REPLACE, 0, json.dumps(document).encode())
    if Checker(state, order).finish().code is not ResultCode.ACCEPTED:
        return
    assert Result.unpack(state.apply(1, order.pack())).code is ResultCode.ACCEPTED
    assert json.loads(state.document) == document
    configuration = read_item(state.item_payload())
    assert configuration.version == 3
    assert configuration.routes[0].targets
