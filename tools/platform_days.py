#!/usr/bin/env python3
"""Runs one day for each kind of trouble on the users' bench and reports the rules that broke.

Usage: tools/platform_days.py BENCH SITE... [--only WORD] [--seed N] [--jobs N] [--why TEXT]
       tools/platform_days.py --write deploy/days

BENCH is the executable of the bench, SITE a site file. Each trouble occurs twice on a day without other
troubles; days with pairs of troubles follow. Prints one line per day: kept or broken, worth, and the rules.
"""

import argparse
import concurrent.futures
import os
import re
import subprocess
import tempfile

# Kind, variant and fields, as defined by the bench.
TROUBLES = [
    ("burst", "", "x = 1.7, for_s = 4.0"),
    ("shift", "", "share = 0.5, for_s = 6.0"),
    ("hot_key", "", "share = 0.3, for_s = 5.0"),
    ("retry_abuse", "", "x = 3.0, share = 0.3, for_s = 5.0"),
    ("give_up", "", "share = 0.2, for_s = 5.0"),
    ("give_up", "once", "share = 0.2, for_s = 5.0"),
    ("srv_crash", "", "SERVICE, share = 0.15, for_s = 4.0"),
    ("srv_crash", "dark", "SERVICE, share = 0.15, for_s = 4.0"),
    ("srv_crash", "dark gone joined", "SERVICE, count = 2, for_s = 4.0"),
    ("srv_crash", "domain dark", "SERVICE, for_s = 6.0"),
    ("srv_crash", "all", "SERVICE, share = 0.5, for_s = 3.0"),
    ("srv_slow", "", "SERVICE, share = 0.15, x = 5.0, for_s = 6.0"),
    ("srv_grey", "errors", "SERVICE, share = 0.15, x = 0.4, for_s = 6.0"),
    ("srv_grey", "shed", "SERVICE, share = 0.15, x = 0.4, for_s = 6.0"),
    ("srv_grey", "busy", "SERVICE, share = 0.15, x = 0.4, for_s = 6.0"),
    ("srv_grey", "hang", "SERVICE, share = 0.15, x = 0.4, for_s = 6.0"),
    ("srv_grey", "reset", "SERVICE, share = 0.15, x = 0.4, for_s = 6.0"),
    ("srv_grey", "mute", "SERVICE, share = 0.15, x = 0.4, for_s = 6.0"),
    ("srv_cut", "", "SERVICE, share = 0.2, for_s = 8.0"),
    ("srv_cut", "reset", "SERVICE, share = 0.2, for_s = 8.0"),
    ("srv_cut", "fronts", "SERVICE, share = 0.2, x = 0.3, for_s = 8.0"),
    ("srv_cut", "some", "SERVICE, share = 0.2, x = 0.3, for_s = 8.0"),
    ("srv_cut", "one_way", "SERVICE, share = 0.2, for_s = 8.0"),
    ("srv_cut", "reborn", "SERVICE, share = 0.2, for_s = 8.0"),
    ("release", "", "SERVICE, share = 0.4, x = 2.0, gap_s = 1.0"),
    ("scale_out", "", "SERVICE, share = 0.2, gap_s = 1.0"),
    ("scale_in", "", "SERVICE, share = 0.15"),
    ("scale_in", "spot", "SERVICE, share = 0.15"),
    ("cold_return", "", 'zone = "@z0", for_s = 4.0'),
    ("answer_lost", "", "share = 0.5, x = 0.05, for_s = 5.0"),
    ("answer_lost", "reset", "share = 0.5, x = 0.05, for_s = 5.0"),
    ("garble", "", "share = 0.5, x = 0.03, for_s = 5.0"),
    ("garble", "extra", "share = 0.5, x = 0.03, for_s = 5.0"),
    ("garble", "extra late", "share = 0.5, x = 0.03, for_s = 5.0"),
    ("garble", "unframed", "share = 0.5, x = 0.03, for_s = 5.0"),
    ("garble", "early", "share = 0.5, x = 0.03, for_s = 5.0"),
    ("node_kill", "", "share = 0.2, for_s = 3.0"),
    ("node_kill", "power", "share = 0.2, for_s = 3.0"),
    ("node_kill", "leader", 'on = "core", count = 1, for_s = 3.0'),
    ("node_kill", "leader race drain", 'on = "core", count = 1, for_s = 3.0'),
    ("node_kill", "meet drain", 'on = "core", count = 1, for_s = 3.0'),
    ("node_slow", "", "share = 0.15, x = 5.5, for_s = 5.0"),
    ("node_slow", "leader", 'on = "core", count = 1, x = 5.5, for_s = 5.0'),
    ("node_freeze", "", "share = 0.15, for_s = 3.0"),
    ("node_freeze", "leader", 'on = "core", count = 1, for_s = 3.0'),
    ("node_cut", "", "share = 0.15, for_s = 4.0"),
    ("node_cut", "all", "share = 0.15, for_s = 4.0"),
    ("node_cut", "servers", "share = 0.15, for_s = 4.0"),
    ("herd_kill", "", "share = 0.6, for_s = 2.0"),
    ("herd_kill", "power", "share = 0.6, for_s = 2.0"),
    ("herd_kill", "", 'on = "core", for_s = 2.0'),
    ("herd_kill", "off", 'on = "core", for_s = 2.0'),
    ("after_ack_kill", "", "for_s = 3.0"),
    ("after_ack_kill", "timed", "for_s = 3.0"),
    ("after_ack_wipe", "", "for_s = 3.0"),
    ("disk_full", "", "count = 1, for_s = 4.0"),
    ("disk_slow", "", "count = 1, x = 30.0, for_s = 4.0"),
    ("disk_stall", "", "count = 1, for_s = 4.0"),
    ("clock_step", "back", "share = 0.3, x = 2400.0, for_s = 5.0"),
    ("clock_step", "ahead", "share = 0.3, x = 2400.0, for_s = 5.0"),
    ("reset_conns", "", "share = 0.3, x = 0.5"),
    ("core_cut", "", "count = 1, for_s = 5.0"),
    ("core_cut", "leader race", "for_s = 4.0"),
    ("core_cut", "reset", "count = 1, for_s = 5.0"),
    ("core_cut", "split", "for_s = 4.0"),
    ("core_cut", "all", "count = 1, for_s = 4.0"),
    ("core_cut", "near", "count = 1, for_s = 4.0"),
    ("core_cut", "one_way", "count = 1, for_s = 4.0"),
    ("core_cut", "behind", "for_s = 4.0"),
    ("core_cut", "both", "count = 1, for_s = 4.0"),
    ("core_cut", "seeds", "count = 1, for_s = 4.0"),
    ("core_cut", "lure", "count = 1, for_s = 4.0"),
    ("lossy", "", "x = 0.03, for_s = 5.0"),
    ("ack_lost", "", "x = 0.7, for_s = 6.0"),
    ("applied_late", "orders", "x = 0.5, for_s = 8.0"),
    ("replace_with_reuse", "", "share = 0.15"),
    ("replace_with_reuse", "drain", "share = 0.15"),
    ("replace_with_reuse", "dark", "share = 0.15"),
]

PLANNED = [
    ("roll_term", "", "share = 0.6, x = 1.0, gap_s = 1.3"),
    ("roll_term", "busy", "gap_s = 1.0"),
    ("roll_term", "leader", 'on = "core", gap_s = 2.0'),
    ("hup", "", "share = 0.6, gap_s = 1.0"),
    ("seed_turnover", "", ""),
    ("replace_core", "", "x = 1.0"),
    ("replace_core", "leader", "x = 1.0"),
    ("replace_core", "planned", "x = 1.0"),
    ("config_change", "route", ""),
    ("config_change", "weights", ""),
    ("config_change", "timeout", ""),
    ("config_change", "tenant", ""),
    ("config_storm", "", "for_s = 4.0, gap_s = 0.33"),
    ("config_race", "", "count = 3, gap_s = 1.2"),
    ("bad_config", "", "count = 3, gap_s = 1.0"),
    ("bad_config", "same_version", "count = 2, gap_s = 1.0"),
    ("bad_config", "shared_key", "count = 2, gap_s = 1.0"),
    ("big_config", "", "count = 350"),
    ("revoke", "", "count = 2, gap_s = 1.5"),
    ("revoke", "last", "count = 2, gap_s = 1.5"),
    ("evacuate", "", 'zone = "@z0", for_s = 8.0'),
    ("evacuate", "warm", 'zone = "@z0", for_s = 8.0'),
]

# Overlapping troubles: the second starts 0.5 s after the first.
PAIRS = [
    ("srv_crash domain dark", "node_kill leader"),
    ("srv_crash domain dark", "herd_kill"),
    ("srv_crash domain dark", "core_cut leader race"),
    ("srv_crash dark gone joined", "applied_late orders"),
    ("srv_slow", "srv_crash dark gone joined"),
    ("srv_slow", "node_kill leader"),
    ("srv_cut", "node_freeze leader"),
    ("srv_cut reborn", "herd_kill off"),
    ("node_cut servers", "node_kill leader"),
    ("node_cut all", "after_ack_wipe"),
    ("garble extra late", "reset_conns"),
    ("answer_lost reset", "lossy"),
    ("replace_with_reuse dark", "node_kill power"),
    ("core_cut split", "after_ack_kill"),
    ("disk_full", "node_kill leader"),
    ("clock_step back", "core_cut one_way"),
]

CLOSINGS = [("power_off_all", ""), ("wipe_after_ack", ""), ("kill_all", "")]
MOMENTS = (5.0, 18.0)

# Most callers of two failure domains move to the entries of a third one, each time beside other troubles and
# before another end of the day.
CROWD = [
    ("shift", "", 'share = 0.9, zone = "@z1", to_zone = "@z0", for_s = 8.0'),
    ("shift", "", 'share = 0.9, zone = "@z2", to_zone = "@z0", for_s = 8.0'),
]
CROWDS = [
    ("crowd", [], ""),
    ("crowd-burst", ["burst"], ""),
    ("crowd-burst-retry_abuse", ["burst", "retry_abuse"], ""),
    ("crowd-give_up-retry_abuse", ["give_up", "retry_abuse"], ""),
    ("crowd-closing-kill_all", [], "kill_all"),
]


def calm_day(site_text):
    """Returns the first day of a site file without its troubles."""
    start = site_text.index("[[day]]") + len("[[day]]\n")
    day = site_text[start : site_text.index("[[day]]", start)]
    day = re.sub(r"plan = \[\n.*?\n\]", "plan = []", day, flags=re.S)
    return re.sub(r"faults = \[\n.*?\n\]", "faults = []", day, flags=re.S)


def day_text(base, name, seed, plan=(), faults=(), closing=None):
    def entries(list_name, values):
        return "%s = [\n%s]" % (list_name, "".join("  { %s },\n" % value for value in values))

    text = re.sub(r'name = ".*?"', 'name = "%s"' % name, base, count=1)
    text = re.sub(r"seed = \d+", "seed = %d" % seed, text, count=1)
    text = text.replace("plan = []", entries("plan", plan))
    text = text.replace("faults = []", entries("faults", faults))
    if closing:
        text = text.replace("\none = ", '\nclosing = { kind = "%s", down_s = 1.2 }\none = ' % closing, 1)
    return text


def entry(moment, trouble, service):
    kind, how, fields = trouble
    parts = ["at = %s" % moment, 'kind = "%s"' % kind]
    if how:
        parts.append('how = "%s"' % how)
    if fields:
        parts.append(fields.replace("SERVICE", 'service = "%s"' % service))
    return ", ".join(parts)


def find_trouble(name):
    """Returns the entry of TROUBLES with this kind and variant, such as "node_kill leader"."""
    kind, _, how = name.partition(" ")
    return next(each for each in TROUBLES if each[0] == kind and each[1] == how)


def list_days(site_text, seed):
    service = re.search(r'services = \[\s*\{ name = "([^"]+)"', site_text).group(1)
    base = calm_day(site_text)
    for planned, troubles in ((False, TROUBLES), (True, PLANNED)):
        for trouble in troubles:
            name = "-".join([trouble[0]] + trouble[1].split()) + ("-core" if "core" in trouble[2] else "")
            both = [entry(moment, trouble, service) for moment in MOMENTS]
            lists = {"plan": both} if planned else {"faults": both}
            yield name, day_text(base, name, seed, **lists)
    for names in PAIRS:
        both = [find_trouble(name) for name in names]
        name = "pair-" + "+".join("-".join([each[0]] + each[1].split()) for each in both)
        faults = [
            entry(moment + 0.5 * place, each, service) for moment in MOMENTS for place, each in enumerate(both)
        ]
        yield name, day_text(base, name, seed, faults=faults)
    for name, beside, closing in CROWDS:
        troubles = CROWD + [find_trouble(each) for each in beside]
        faults = [entry(moment, each, service) for moment in MOMENTS for each in troubles]
        yield name, day_text(base, name, seed, faults=faults, closing=closing)
    for closing, _ in CLOSINGS:
        yield "closing-" + closing, day_text(base, "closing-" + closing, seed, closing=closing)


def write_days(folder):
    """Writes each day in a form for any site; a hunt varies its times and figures."""
    blank = 'name = ""\none = 1.0\nplan = []\nfaults = []\n'
    for name, text in list_days('services = [{ name = "@s0" }]\n[[day]]\n' + blank + "[[day]]", 1):
        kept = [line for line in text.splitlines() if not line.startswith("one = ")]
        with open(os.path.join(folder, name.replace("+", "-and-") + ".toml"), "w", encoding="utf-8") as file:
            file.write("\n".join(kept) + "\n")


def play(bench, site, name, text, why):
    with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
        file.write(text)
    try:
        run = subprocess.run(
            [bench, "run", site, file.name, "--jobs", "1", "--why", why], capture_output=True, text=True
        )
    finally:
        os.unlink(file.name)
    lines = run.stdout.splitlines()
    head = next((line for line in lines if line.startswith(name + " ")), None)
    if head is None:
        return "not played: " + (run.stderr + run.stdout).strip().splitlines()[-1][:120]
    figures = re.split(r"\s+", head[len(name) :].strip())
    broken = re.search(r"BROKEN: (.*)", head)
    first = next((line for line in lines if re.match(r"[A-Z]+ at ", line)), "")
    verdict = "broken: %s; %s" % (broken.group(1), first[:200]) if broken else "kept"
    exits = " (exits of its own)" if "exits of its own" in head else ""
    return "worth %s, %s%s" % (figures[2], verdict, exits)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench", nargs="?")
    parser.add_argument("sites", nargs="*")
    parser.add_argument("--write", default="", metavar="FOLDER")
    parser.add_argument("--only", default="")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--why", default="a day for each kind of trouble")
    options = parser.parse_args()
    if options.write:
        write_days(options.write)
    for site in options.sites:
        with open(site, encoding="utf-8") as file:
            days = [day for day in list_days(file.read(), options.seed) if options.only in day[0]]
        print("# " + os.path.basename(site))
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            results = pool.map(lambda day: play(options.bench, site, day[0], day[1], options.why), days)
            for (name, _), result in zip(days, results):
                print("%-36s %s" % (name, result), flush=True)


if __name__ == "__main__":
    main()
