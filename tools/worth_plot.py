#!/usr/bin/env python3
"""Plots the worth of each standard day, score by score, from the journal of the users' bench.

Usage: tools/worth_plot.py JOURNAL OUTPUT

Writes OUTPUT/worth-SITE.svg for each site with gnuplot (package gnuplot-nox). A round is one full
score. Unfinished scores and randomly drawn days are skipped.
"""

import argparse
import json
import pathlib
import subprocess

SETTINGS = """set terminal svg size 900,480 font 'sans,12' background 'white'
set output '{output}'
set title 'Worth of each standard day of {site}, by round'
set xlabel 'round (full scores in order of time)'
set ylabel 'worth earned / owed, less prices'
set yrange [0:1]
set key outside right
set grid ytics
plot {curves}
"""


def read_scores(journal):
    """Returns the finished scores of each site by time, as lists of {day: worth}."""
    sites = {}
    entries = [json.loads(file.read_text()) for file in sorted(journal.glob("*.json"))]
    for entry in sorted(entries, key=lambda entry: entry["at"][0]):
        if entry["cmd"] != "score" or not entry["ok"]:
            continue
        site = pathlib.Path(entry["argv"][0]).stem
        days = {day["name"]: day["G"] for day in entry["days"] if not day["name"].startswith("fresh")}
        sites.setdefault(site, []).append(days)
    return sites


def plot(site, rounds, output):
    """Draws one curve per day, with a gap where a round lacks the day."""
    names = sorted({name for days in rounds for name in days})
    blocks = []
    for name in names:
        points = [f"{number} {days[name]}" for number, days in enumerate(rounds, 1) if name in days]
        blocks.append(f"${name.replace('-', '_')} << EOD\n" + "\n".join(points) + "\nEOD\n")
    curves = ", ".join(f"${name.replace('-', '_')} with linespoints title '{name}'" for name in names)
    script = "".join(blocks) + SETTINGS.format(output=output, site=site, curves=curves)
    subprocess.run(["gnuplot"], input=script, text=True, check=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("journal", type=pathlib.Path)
    parser.add_argument("output", type=pathlib.Path)
    options = parser.parse_args()
    options.output.mkdir(parents=True, exist_ok=True)
    for site, rounds in read_scores(options.journal).items():
        plot(site, rounds, options.output / f"worth-{site}.svg")


if __name__ == "__main__":
    main()
