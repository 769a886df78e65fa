"""Draws days for the fleet's bench that mix every kind of trouble at any moment, each more than once.

The operators' own mixes draw from the troubles that a site has had; these draw from all that may come. The
output is a TOML file for each day, to be played with the bench's `run SITE FILE`; a seed always gives the
same days.

    python benchmarks/draw_days.py SITE_FILE OUTPUT_FOLDER --days 10 --seed 1
"""

from __future__ import annotations

import argparse
import random
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

LAST_SECOND = 26.0  # troubles begin before, so that the end of the day shows what they left
PLAN_CHANGES = (2, 5)  # configuration changes of one day
FAULTS = (3, 7)


@dataclass(frozen=True)
class Trouble:
    """One kind of trouble: the ranges of its figures, its variants, and whether it is planned work."""

    kind: str
    figures: dict[str, tuple[float, float]]
    variants: tuple[str, ...] = ("",)
    fixed: tuple[tuple[str, Any], ...] = ()
    whole: tuple[str, ...] = ("count",)


PLANNED = (
    Trouble("config_change", {}, ("route", "weights", "timeout", "idle")),
    Trouble("config_storm", {"for_s": (2, 5), "gap_s": (0.2, 0.5)}),
    Trouble("config_race", {"count": (1, 3), "gap_s": (0.5, 1.5)}),
    Trouble(
        "bad_config",
        {"count": (1, 4), "gap_s": (0.5, 1.2)},
        ("", "cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version"),
    ),
    Trouble("big_config", {"count": (100, 350)}),
    Trouble("release", {"share": (0.2, 0.6), "x": (1, 2), "gap_s": (0.6, 1.5)}, whole=("x",)),
    Trouble("roll_term", {"share": (0.2, 0.6), "x": (1, 2), "gap_s": (0.8, 1.6)}, ("", "busy"), whole=("x",)),
    Trouble("roll_term", {"x": (1, 1), "gap_s": (3, 6)}, ("", "leader"), (("on", "core"),), ("x",)),
    Trouble("seed_turnover", {}),
    Trouble("replace_core", {"x": (0.8, 2.5)}, ("", "seed", "leader", "planned")),
)
FAULTY = (
    Trouble("burst", {"x": (1.3, 2.0), "for_s": (3, 5)}),
    Trouble("hot_key", {"share": (0.2, 0.4), "for_s": (3, 6)}),
    Trouble("srv_crash", {"share": (0.1, 0.25), "for_s": (2, 5)}, ("", "dark", "gone")),
    Trouble(
        "srv_grey",
        {"share": (0.1, 0.2), "x": (0.2, 0.6), "for_s": (3, 6)},
        ("errors", "shed", "busy", "hang", "reset", "mute"),
    ),
    Trouble("srv_grey", {"share": (0.1, 0.2), "x": (3, 8), "for_s": (3, 6)}, ("slow",)),
    Trouble("srv_lying_health", {"share": (0.1, 0.2), "for_s": (3, 6)}, ("errors", "hang", "reset", "bad")),
    Trouble("srv_flap", {"share": (0.1, 0.2), "gap_s": (0.8, 2), "for_s": (4, 7)}),
    Trouble("answer_lost", {"share": (0.3, 0.6), "x": (0.02, 0.06), "for_s": (3, 5)}, ("", "reset")),
    Trouble("garble", {"share": (0.3, 0.6), "x": (0.02, 0.05), "for_s": (3, 5)}, ("", "extra", "extra late")),
    Trouble("node_kill", {"share": (0.1, 0.2), "for_s": (1, 4)}, ("", "power")),
    Trouble(
        "node_kill",
        {"count": (1, 1), "for_s": (1, 4)},
        ("leader", "power leader race drain hard", "leader race drain", "meet drain", "power meet"),
        (("on", "core"),),
    ),
    Trouble("node_freeze", {"share": (0.1, 0.2), "for_s": (1, 4)}),
    Trouble("node_freeze", {"count": (1, 1), "for_s": (1, 4)}, ("leader", "leader meet"), (("on", "core"),)),
    Trouble("herd_kill", {"share": (0.4, 0.7), "for_s": (1, 3)}, ("", "power")),
    Trouble("after_ack_kill", {"for_s": (1, 4)}, ("", "kill", "timed")),
    Trouble("after_ack_wipe", {"for_s": (1, 4)}),
    Trouble("disk_full", {"count": (1, 1), "for_s": (2, 6)}),
    Trouble("disk_slow", {"count": (1, 1), "x": (10, 40), "for_s": (2, 6)}),
    Trouble("disk_stall", {"count": (1, 1), "for_s": (1, 5)}),
    Trouble("clock_step", {"share": (0.2, 0.5), "x": (500, 5000), "for_s": (2, 6)}, ("back", "ahead")),
    Trouble(
        "core_cut", {"count": (1, 1), "for_s": (2, 6)}, ("", "leader", "one_way", "reset", "leader race")
    ),
    Trouble("node_cut", {"share": (0.1, 0.2), "for_s": (2, 5)}, ("", "servers")),
    Trouble("reset_conns", {"share": (0.1, 0.5), "x": (0.3, 0.8), "for_s": (1, 4)}),
    Trouble("lossy", {"x": (0.01, 0.04), "for_s": (3, 6)}),
)
HEALTH_KINDS = frozenset(
    ("srv_flap", "srv_lying_health")
)  # come only where the health of backends is in force
CLOSINGS = ("power_off_all", "wipe_after_ack", "kill_all")


def draw_trouble(trouble: Trouble, generator: random.Random, classes: list[str]) -> dict[str, Any]:
    """One entry of a day."""
    entry: dict[str, Any] = {"at": round(generator.uniform(0.5, LAST_SECOND), 2), "kind": trouble.kind}
    for name, (low, high) in trouble.figures.items():
        value = generator.uniform(low, high)
        entry[name] = round(value) if name in trouble.whole else round(value, 2)
    entry.update(trouble.fixed)
    if variant := generator.choice(trouble.variants):
        entry["how"] = variant
    if trouble.kind in ("burst", "hot_key"):
        entry["class"] = generator.choice(classes)
    return entry


def draw_day(site: dict[str, Any], name: str, generator: random.Random) -> dict[str, Any]:
    """One day with the traffic of the site."""
    classes = [each["name"] for each in site["classes"]]
    has_health = "health" in site["contracts"]
    faulty = [trouble for trouble in FAULTY if has_health or trouble.kind not in HEALTH_KINDS]
    plan = [
        draw_trouble(generator.choice(PLANNED), generator, classes)
        for _ in range(generator.randint(*PLAN_CHANGES))
    ]
    faults = [
        draw_trouble(generator.choice(faulty), generator, classes) for _ in range(generator.randint(*FAULTS))
    ]
    day: dict[str, Any] = {"name": name, "slot": "trouble", "seed": generator.getrandbits(30)}
    day |= {"one": 1.0, "zero": 0.0, "goal": {"floor": 0.3}, "labels": [], "wall": 2.1, "light": False}
    if generator.random() < 0.6:
        day["closing"] = {
            "kind": generator.choice(CLOSINGS),
            "down_s": round(generator.uniform(0.6, 1.6), 2),
        }
        if generator.random() < 0.3:
            day["closing"]["how"] = "timed"
    return day | {"plan": plan, "faults": faults}


def toml_value(value: Any) -> str:
    """A value as TOML writes it in one line."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {toml_value(each)}" for key, each in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(map(toml_value, value)) + "]"
    return str(value)


def write_day(day: dict[str, Any], path: Path) -> None:
    """Write a day as a file that holds it alone."""
    lines = ["[[day]]", *(f"{key} = {toml_value(value)}" for key, value in day.items())]
    path.write_text("\n".join(lines) + "\n")


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("site", type=Path)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--days", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    site = tomllib.loads(options.site.read_text())
    options.folder.mkdir(parents=True, exist_ok=True)
    for number in range(options.days):
        generator = random.Random(options.seed * 100_003 + number)
        day = draw_day(site, f"drawn-{options.seed}-{number}", generator)
        write_day(day, options.folder / f"drawn-{options.seed}-{number}.toml")


if __name__ == "__main__":
    main()
