"""The report stands alone, holds what it should, and escapes what is not its own."""

from __future__ import annotations

import re
from pathlib import Path
from xml.etree import ElementTree

import msgspec
import pytest

from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.runner.report import html, write_html
from firvane.simulation.runner.result import Result, Witness
from firvane.simulation.runner.svg import Band, lanes_of, number, over_time, table, ticks
from tests.simulation.emulation.histories import answered, asked
from tests.simulation.runner.samples import DAY, sample


def checked(page: str) -> str:
    """A page that stands alone and is well formed."""
    ElementTree.fromstring(page.removeprefix("<!doctype html>"))
    assert not re.search(r"<script|<link|<img|src=|href=|url\(|@import|https?:", page)
    assert not re.search(r"[\s\"MLHh-](nan|inf)\b", "".join(re.findall(r"<svg.*?</svg>", page)))
    return page


def test_the_report_of_one_run_holds_its_verdict_its_plots_and_its_tables() -> None:
    page = checked(html([sample()]))
    assert "All rules kept" in page and "firvane rehearse sample --virtual --seed 1" in page
    titles = ["Service over time", "Communities", "Data centres", "Latencies", "Retries and refusals"]
    for title in [*titles, "Load of the boxes", "Figures", "Boxes", "Proxies"]:
        assert f"<h2>{title}" in page
    assert page.count("<svg") == 1 + 3 + 2 + 2 + 1 + 1
    assert page.count('class="trouble"') == 1 + 3 + 2 + 1 + 1
    assert "silent &lt;yaba&gt;: 10.0 to 18.0 s" in page and "&lt;b&gt;Some" in page
    assert "told apart" not in page


def test_breaches_are_told_with_request_box_proxy_time_and_command() -> None:
    page = checked(html([sample(lost=True)]))
    row = re.search(r"<tr><td class=\"n\">21.050 s</td>.*?</tr>", page)
    assert row and "gone &lt;i&gt;" in row[0] and ">p</td>" in row[0] and "firvane rehearse" in row[0]
    assert "Broken: a request lost its answer (1)" in page and "What costs" in page


def test_two_runs_share_their_plots_and_are_told_apart_or_not() -> None:
    first, second = sample(), sample(seed=2, slow=0.15)
    page = checked(html([first, second], ("before", "after")))
    service = re.search(r"<h2>Service over time.*?</svg>", page, re.DOTALL)
    assert service and service[0].count('<path class="line') == 2
    rows = dict(
        re.findall(r"<tr><td>([a-z0-9 ]+)</td>(?:<td class=\"n\">[^<]*</td>){4}<td>(.*?)</td></tr>", page)
    )
    assert rows["median latency by second"] == "<b>more</b> in after"
    assert rows["service"] == "cannot be told apart"
    assert re.search(r'<td>latency p90</td>.*?<td class="n bad">\+\d+ ms</td>', page)
    assert "Both are the same run" in html([first, sample()])


def test_a_run_of_nothing_and_one_without_a_verdict_have_reports() -> None:
    checked(html([Witness(DAY, 1, "virtual").result(), sample()]))
    page = checked(html([msgspec.structs.replace(sample(), no_verdict="too busy")]))
    assert "No verdict: too busy" in page and "All rules kept" not in page


def test_a_report_is_of_one_or_two_and_is_written_whole(tmp_path: Path) -> None:
    for results in ([], [sample()] * 3):
        with pytest.raises(ValueError, match="one result or two"):
            write_html(results, tmp_path / "a.html")
    write_html([sample()], tmp_path / "a.html")
    assert (tmp_path / "a.html").read_text() == html([sample()])
    assert [path.name for path in tmp_path.iterdir()] == ["a.html"]


def test_runs_of_different_lengths_share_a_time_axis() -> None:
    def long() -> Result:
        witness = Witness(Scenario(name="long", seconds=700.0), 1, "live")
        for n in range(700):
            witness.see(asked(float(n), f"c{n}"))
            witness.see(answered(n + 0.1, f"c{n}"))
        return witness.result()

    assert long().over_time.step_s == 3.0
    page = checked(html([sample(), long()], ("short", "long")))
    lines = re.findall(r'class="line (?:one|two)" d="([^"]*)"><title>service, (?:short|long)', page)
    assert [line.count("L") for line in lines] == [39, 701]
    checked(html([long(), sample()]))


def test_ticks_are_round_and_figures_are_written_as_people_do() -> None:
    assert ticks(0.0, 62.0, 12) == [0, 10, 20, 30, 40, 50, 60]
    assert [round(tick, 9) for tick in ticks(0.0, 1.0, 5)] == [0, 0.2, 0.4, 0.6, 0.8, 1.0]
    assert ticks(3.0, 3.0, 5) == [3.0]
    assert [number(value) for value in (0, 0.0246, 0.5, 12.34, 456.7, 12345)] == [
        "0", "0.0246", "0.5", "12.3", "457", "12\u2009345",
    ]  # fmt: skip


def test_troubles_that_overlap_get_lanes_of_their_own() -> None:
    assert lanes_of(
        [Band(0, 10, "a"), Band(5, 8, "b"), Band(9, 12, "c"), Band(10, 11, "d"), Band(10.5, 11, "e")]
    ) == [0, 1, 1, 0, 2]


def test_gaps_are_gaps_and_shades_run_together() -> None:
    drawing = over_time([([0.1, None, 0.5, 0.7, None], "one", "some")], 1.0, 1.0, [], "some")
    path = re.search(r'class="line one" d="([^"]*)"', drawing)
    assert path and path[1].count("M") == 2 and path[1].count("L") == 1 and path[1].count("h") == 1
    shades = table([("b", [0.5, 0.5, None, 2.0], [True, True, False, False])], 1.0, "some")
    assert len(re.findall(r'<rect class="(h6|gone|h12)"', shades)) == 3
    assert "b, 0 to 2 s: 50%" in shades and "b, 2 to 3 s: not up" in shades and shades.count('"mark"') == 1
