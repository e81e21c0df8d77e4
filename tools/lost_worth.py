#!/usr/bin/env python3
"""Reports from the logs of entries and control which requests were lost, and why.

Usage: tools/lost_worth.py LOG [--seconds N] [--plot FILE.svg]

LOG contains the log lines of all entries and control processes, each with the number, name and fields of an
event. A number before the line is used as its time in seconds, otherwise the timestamp of the line. Prints, by
interval and model, the requests sent, answered in time, late and refused, and the serving groups; for each lost
group the time until the next group of its model was formed and open; and the reasons of refused and late
requests with their share of all requests; and the outcomes by workspace, route, urgency, callers' retries and
entry. Needs no packages but the standard library.
"""

import argparse
import collections
import datetime
import re
import statistics

FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
LINE = re.compile(r"^\s*(?:(-?\d+\.\d+)\s+\S+\s+)?(\d{4}-\d\d-\d\dT\S+Z) \w+ (\d+) (\w+) (.*)$")


class Event:
    def __init__(self, at, name, fields):
        self.at = at
        self.name = name
        self.fields = fields

    def number(self, field):
        try:
            return float(self.fields.get(field, "0"))
        except ValueError:
            return 0.0


def read_events(path):
    events = []
    with open(path, encoding="utf-8", errors="replace") as file:
        for text in file:
            match = LINE.match(text)
            if match is None:
                continue
            relative, wall, _, name, rest = match.groups()
            at = float(relative) if relative else datetime.datetime.fromisoformat(wall[:-1]).timestamp()
            fields = {key: value.strip('"') for key, value in FIELD.findall(rest)}
            events.append(Event(at, name, fields))
    events.sort(key=lambda event: event.at)
    return events


def outcome_of(event):
    """Returns the outcome that the entry recorded: in time, late, refused, failed or gone."""
    if event.fields.get("outcome") in ("answered", "unconfirmed") and event.fields.get("status", "").startswith("2"):
        first = event.number("firstMillis") or event.number("millis")
        return "in time" if first <= event.number("aimMillis") else "late"
    if event.fields.get("outcome") == "not-run":
        return "refused"
    return "gone" if event.fields.get("outcome") == "caller-gone" else "failed"


def reason_of(event):
    outcome = outcome_of(event)
    if outcome == "late":
        return "late: more than one attempt" if event.number("attempts") > 1 else "late: one attempt"
    return outcome + ": " + (event.fields.get("reason") or "no reason recorded")


class Groups:
    """Tracks when each group opened and ended, and the group that replaced it."""

    def __init__(self, events):
        self.open = {}  # name -> model
        self.changes = []  # (at, model, +1 or -1)
        self.chains = []  # of ended groups: model, reason, ended, formed, opened
        waiting = collections.defaultdict(list)
        models = {}
        for event in events:
            name = event.fields.get("group", "")
            if event.name in ("TargetGroupFormed", "TargetGroupAdopted"):
                models[name] = event.fields.get("model", "")
                chain = next((c for c in waiting[models[name]] if "formed" not in c), None)
                if event.name == "TargetGroupFormed" and chain is not None:
                    chain["formed"] = event.at
                    chain["by"] = name
            elif event.name == "TargetGroupOpen" and name not in self.open:
                self.open[name] = event.fields.get("model", "")
                self.changes.append((event.at, self.open[name], 1))
                for chain in self.chains:
                    if chain.get("by") == name and "opened" not in chain:
                        chain["opened"] = event.at
            elif event.name == "TargetGroupEnded" and name in self.open:
                model = self.open.pop(name)
                self.changes.append((event.at, model, -1))
                chain = {"model": model, "reason": event.fields.get("reason", ""), "ended": event.at, "group": name}
                self.chains.append(chain)
                waiting[model].append(chain)

    def serving(self, model, at):
        return sum(change for when, which, change in self.changes if which == model and when <= at)


def print_spans(answers, groups, seconds):
    spans = collections.defaultdict(collections.Counter)
    for event in answers:
        start = event.at - event.number("millis") / 1000
        spans[(int(start // seconds) * seconds, event.fields.get("model", ""))][outcome_of(event)] += 1
    print("%6s %-14s %6s %8s %6s %8s %7s %7s" % ("second", "model", "asked", "in time", "late", "refused", "failed", "groups"))
    for (start, model), counts in sorted(spans.items()):
        served = groups.serving(model, start + seconds / 2) if model else 0
        print("%6d %-14s %6d %8d %6d %8d %7d %7s" % (start, model or "-", sum(counts.values()), counts["in time"],
              counts["late"], counts["refused"], counts["failed"], served if model else "-"))
    return spans


def print_reasons(answers):
    reasons = collections.Counter((e.fields.get("model", ""), reason_of(e)) for e in answers if outcome_of(e) != "in time")
    total = len(answers)
    print("\nlost, by model and reason (of %d requests; times as measured by the entry)" % total)
    for (model, reason), count in reasons.most_common(25):
        print("%6d %5.1f%%  %-14s %s" % (count, 100 * count / max(total, 1), model or "-", reason))


def print_chains(chains):
    print("\nlost groups: time of the loss, then milliseconds until the next group of the model was formed and open")
    for chain in chains:
        formed = "%.0f" % (1000 * (chain["formed"] - chain["ended"])) if "formed" in chain else "-"
        opened = "%.0f" % (1000 * (chain["opened"] - chain["ended"])) if "opened" in chain else "-"
        print("%8.2f %-14s formed %6s open %6s  %s" % (chain["ended"], chain["model"], formed, opened, chain["reason"]))
    known = [1000 * (c["opened"] - c["ended"]) for c in chains if "opened" in c]
    if known:
        print("median until open %.0f ms over %d of %d" % (statistics.median(known), len(known), len(chains)))


def write_plot(path, spans, seconds):
    """Plots the requests of each interval as stacked bars: in time, late, refused and failed."""
    sums = collections.defaultdict(collections.Counter)
    for (start, _), counts in spans.items():
        sums[start].update(counts)
    colours = {"in time": "#4c9f70", "late": "#e0b040", "refused": "#c0504d", "failed": "#555555"}
    most = max((sum(c.values()) for c in sums.values()), default=1)
    width, height, step = 900, 300, 900 / max(len(sums), 1)
    parts = ['<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">'
             % (width + 60, height + 60)]
    for index, start in enumerate(sorted(sums)):
        top = height + 20
        for outcome, colour in colours.items():
            tall = height * sums[start][outcome] / most
            top -= tall
            parts.append('<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>'
                         % (40 + index * step, top, step * 0.9, tall, colour))
        parts.append('<text x="%.1f" y="%d">%d</text>' % (40 + index * step, height + 35, start))
    for index, (outcome, colour) in enumerate(colours.items()):
        parts.append('<text x="%d" y="%d" fill="%s">%s</text>' % (40 + index * 90, height + 53, colour, outcome))
    parts.append('<text x="2" y="15">%d in %d s</text></svg>' % (most, seconds))
    with open(path, "w", encoding="utf-8") as file:
        file.write("\n".join(parts) + "\n")


def print_breakdown(answers, field):
    """Prints the outcomes by the values of a field, the most frequent value first."""
    outcomes = ("in time", "late", "refused", "failed", "gone")
    counts = collections.defaultdict(collections.Counter)
    for event in answers:
        counts[event.fields.get(field) or "-"][outcome_of(event)] += 1
    print("\nby %s: requests, then the percentage %s" % (field, ", ".join(outcomes)))
    for value, row in sorted(counts.items(), key=lambda item: -sum(item[1].values())):
        total = sum(row.values())
        shares = "".join("%8.1f" % (100 * row[outcome] / total) for outcome in outcomes)
        print("%6d %s  %s" % (total, shares, value))


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("log")
    parser.add_argument("--seconds", type=int, default=2, help="length of an interval")
    parser.add_argument("--plot", default="")
    options = parser.parse_args()
    events = read_events(options.log)
    answers = [event for event in events if event.name == "GatewayAnswered" and event.fields.get("route")]
    groups = Groups(events)
    spans = print_spans(answers, groups, options.seconds)
    print_reasons(answers)
    for field in ("workspace", "route", "urgency", "callerRetry", "process"):
        print_breakdown(answers, field)
    print_chains(groups.chains)
    if options.plot:
        write_plot(options.plot, spans, options.seconds)


if __name__ == "__main__":
    main()
