#!/usr/bin/env python3
"""Lists the days in journal entries that earned less than a floor or broke a rule.

Usage: tools/short_days.py [ENTRY.json ...]

The output of a hunt names broken rules only; missed floors are recorded in the journal entry.
Without arguments the newest entry is read. Exits with 1 if any day is listed.
"""

import argparse
import glob
import json
import os
import sys


def faults_of(day):
    faults = ["short: " + text for text in day.get("short") or []]
    faults += ["rule %s: %s" % (rule, count) for rule, count in (day.get("rules") or {}).items()]
    if day.get("fault"):
        faults.append("fault: %s" % day["fault"])
    return faults


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("entries", nargs="*")
    options = parser.parse_args()
    folder = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "journal")
    entries = options.entries or sorted(glob.glob(os.path.join(folder, "*.json")))[-1:]
    found = 0
    for entry in entries:
        with open(entry, encoding="utf-8") as file:
            record = json.load(file)
        days = record.get("days") or []
        faulty = [(day["name"], fault) for day in days for fault in faults_of(day)]
        found += len(faulty)
        print("%s %s %s: %d days, %d findings" %
              (os.path.basename(entry), record.get("cmd"), record.get("site"), len(days), len(faulty)))
        for name, fault in faulty:
            print("  %s: %s" % (name, fault))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
