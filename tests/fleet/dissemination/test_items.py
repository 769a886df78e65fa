"""The store, compared with a plain dictionary."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.fleet.dissemination.items import MAX_ITEMS, Item, ItemStore

items = st.builds(Item, st.sampled_from((b"", b"a", b"b", b"ab")), st.integers(0, 5), st.binary(max_size=2))


@settings(derandomize=True, deadline=None)
@given(st.lists(items, max_size=30), st.randoms(use_true_random=False))
def test_the_highest_version_is_kept_in_any_order(received: list[Item], rng: object) -> None:
    store, expected = ItemStore(), {}
    for item in received:
        before = expected.get(item.key)
        is_newer = before is None or item.version > before.version
        assert store.put(item) == is_newer
        if is_newer:
            expected[item.key] = item
        assert store.get(item.key) == expected[item.key]
    assert store.versions() == sorted((key, item.version) for key, item in expected.items())
    other = ItemStore()
    for item in sorted(received, key=lambda item: (item.version, item.key), reverse=True):
        other.put(item)
    assert other.summary() == store.summary()
    assert len(store) == len(expected)


def test_equal_version_changes_of_two_keys_change_the_summary() -> None:
    """A sum of checksums would be equal here, since both versions change by the same bits."""
    first, second = ItemStore(), ItemStore()
    for store, version in ((first, 5), (second, 6)):
        store.put(Item(b"service-a", version, b""))
        store.put(Item(b"service-b", version, b""))
    assert first.summary() != second.summary()


def test_the_number_of_keys_is_bounded() -> None:
    store = ItemStore()
    for number in range(MAX_ITEMS):
        assert store.put(Item(str(number).encode(), 1, b""))
    assert not store.put(Item(b"one more", 1, b""))
    assert store.put(Item(b"7", 2, b""))
