#!/usr/bin/env python3
"""Runs the standard days of sites with several seeds and prints the means of worth, served and refused.

Usage: tools/worth_means.py BENCH SITE... [--days NAME,...] [--seeds N,...] [--jobs N] --why TEXT

The worth of a single day varies by about 0.1 between runs, so that changes of policy are compared by the
mean over days and seeds. Processor time is not charged (--no-cpu), which reduces the variation.
"""

import argparse
import concurrent.futures
import os
import re
import statistics
import subprocess


def play(bench, site, day, seed, why):
    command = [bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--jobs", "1", "--why", why]
    lines = subprocess.run(command, capture_output=True, text=True).stdout.splitlines()
    name = os.path.basename(day).removesuffix(".toml")  # A day of a file bears the file's name.
    head = next((line for line in lines if line.startswith(name + " ")), None)
    if head is None:
        return None
    figures = re.split(r"\s+", head[len(name) :].strip())
    broken = re.search(r"BROKEN: (.*)", head)
    floors = "GATE" if re.search(r"floor", head) else ""
    return {
        "worth": float(figures[2]),
        "served": float(figures[3]),
        "refused": float(figures[4]),
        "notes": " ".join(filter(None, [broken.group(0) if broken else "", floors])),
    }


def days_of(site):
    with open(site, encoding="utf-8") as file:
        return re.findall(r'\[\[day\]\]\nname = "(.*?)"', file.read())


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--days", default="")
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--why", required=True)
    options = parser.parse_args()
    for site in options.sites:
        days = options.days.split(",") if options.days else days_of(site)
        plays = [(day, int(seed)) for day in days for seed in options.seeds.split(",")]
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            results = list(
                pool.map(lambda each: play(options.bench, site, each[0], each[1], options.why), plays)
            )
        print("# " + os.path.basename(site))
        for (day, seed), result in zip(plays, results):
            print("%-12s %4d %s" % (day, seed, "not played" if result is None else result))
        played = [result for result in results if result is not None]
        for field in ("worth", "served", "refused"):
            values = [result[field] for result in played]
            print("mean %-8s %.3f over %d plays" % (field, statistics.mean(values), len(values)))


if __name__ == "__main__":
    main()
