"""How a report looks: colours for light and dark, and the classes of `svg.py`."""

from __future__ import annotations

from firvane.simulation.runner.svg import SHADES

LIGHT = {
    "paper": "#ffffff", "ink": "#1c2430", "soft": "#5b6675", "rule": "#e3e7ec", "panel": "#f6f8fa",
    "one": "#1d5fd1", "two": "#d9680b", "third": "#2e8b57", "fourth": "#a03a8c",
    "good": "#1a7f45", "bad": "#c22f2f", "warn": "#a86a00", "shade": "#8a94a3",
}  # fmt: skip
DARK = {
    "paper": "#14181e", "ink": "#e4e8ee", "soft": "#98a3b1", "rule": "#2b323b", "panel": "#1b2027",
    "one": "#6ea8ff", "two": "#ffab5c", "third": "#63c78f", "fourth": "#df87cc",
    "good": "#5bc98a", "bad": "#ff7b72", "warn": "#e0b25a", "shade": "#7d8793",
}  # fmt: skip

RULES = """
* { box-sizing: border-box }
body { margin: 0; background: var(--paper); color: var(--ink); font: 15px/1.5 system-ui, sans-serif }
main { max-width: 1020px; margin: 0 auto; padding: 28px 20px 60px }
h1 { font-size: 25px; margin: 0 0 4px } h2 { font-size: 17px; margin: 34px 0 6px }
h3 { font-size: 13px; margin: 10px 0 0; font-weight: 600 }
p { margin: 4px 0 10px; max-width: 78ch } .soft { color: var(--soft) }
code { font: 13px ui-monospace, monospace; background: var(--panel); padding: 1px 5px; border-radius: 4px;
  overflow-wrap: anywhere }
.verdict { display: inline-block; padding: 3px 10px; border-radius: 5px; font-weight: 600; margin: 6px 0;
  color: var(--paper); background: var(--good) }
.verdict.broken { background: var(--bad) } .verdict.none { background: var(--warn) }
.tiles { display: grid; grid-template-columns: repeat(auto-fit, minmax(150px, 1fr)); gap: 10px;
  margin: 14px 0 }
.tile { background: var(--panel); border-radius: 8px; padding: 9px 12px }
.tile b { display: block; font-size: 21px; white-space: nowrap; line-height: 1.25;
  font-variant-numeric: tabular-nums }
.tile span { color: var(--soft); font-size: 12.5px }
.grid3 { display: grid; grid-template-columns: repeat(auto-fit, minmax(290px, 1fr)); gap: 4px 14px }
.grid2 { display: grid; grid-template-columns: repeat(auto-fit, minmax(430px, 1fr)); gap: 4px 18px }
.scroll { overflow-x: auto }
table { border-collapse: collapse; font-size: 13.5px; font-variant-numeric: tabular-nums; margin: 6px 0 }
th, td { text-align: left; padding: 3px 14px 3px 0; border-bottom: 1px solid var(--rule);
  vertical-align: top }
th { color: var(--soft); font-weight: 600 } td.n, th.n { text-align: right }
.n, .w { white-space: nowrap }
.good { color: var(--good) } .bad { color: var(--bad) }
svg { width: 100%; height: auto; display: block; margin: 4px 0 }
svg text { font: 11px system-ui, sans-serif; fill: var(--soft) }
.end { text-anchor: end } .mid { text-anchor: middle }
.grid { stroke: var(--rule); fill: none } .axis, .tickmark { stroke: var(--soft); fill: none }
.trouble { fill: var(--shade); opacity: .11 } .lane { fill: var(--shade); opacity: .34 }
svg .lanename { fill: var(--ink); font-size: 10.5px }
.line { fill: none; stroke-width: 1.7; stroke-linejoin: round; stroke-linecap: round }
.one { stroke: var(--one) } .two { stroke: var(--two) } .third { stroke: var(--third) }
.fourth { stroke: var(--fourth) } .ink { stroke: var(--soft) }
.thin { stroke-width: 1; stroke-dasharray: 4 3 }
.level { stroke: var(--bad); stroke-dasharray: 5 4; fill: none; opacity: .7 }
svg .levelname { fill: var(--bad) }
.key { font-size: 13px; color: var(--soft) } .key i { display: inline-block; width: 22px; height: 0;
  border-top: 2.5px solid; margin: 0 6px 4px 0 } .key span { margin-right: 18px; white-space: nowrap }
.key .one { border-color: var(--one) } .key .two { border-color: var(--two) }
.key .third { border-color: var(--third) } .key .fourth { border-color: var(--fourth) }
.key .ink { border-color: var(--soft) } .key .thin { border-top-style: dashed }
.gone { fill: var(--rule) } .mark { fill: var(--two) }
"""


def style() -> str:
    """The style sheet."""
    light, dark = (";".join(f"--{name}:{value}" for name, value in one.items()) for one in (LIGHT, DARK))
    shades = "\n".join(
        f".h{n} {{ fill: color-mix(in oklab, var(--one) {100 * n // SHADES}%, var(--panel)) }}"
        for n in range(SHADES + 1)
    )
    return (
        f":root {{ color-scheme: light dark; {light} }}\n"
        f"@media (prefers-color-scheme: dark) {{ :root {{ {dark} }} }}{RULES}{shades}"
    )
