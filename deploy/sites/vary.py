#!/usr/bin/env python3
"""Draws deployments from a site file: vary.py SITE.toml [--seeds A-B] [--out DIR] [--only PART,..] [--list]

Each seed gives DIR/NAME-SEED/NAME-SEED.toml with what a site needs beside it. The same seed and site give the same
file. TABLE below is all that varies: a place in the file and how its new value is drawn. A draw is relative to the
site's own value where a bench at full size must still be able to play the day, and absolute where any value is legal.
What is made is the operators' text in part: it must never be committed (made/ is ignored).
"""
import argparse, random, re, shutil, sys, tomllib
from pathlib import Path

BESIDE = ("wire.json", "real.json", "unlock.txt")
# The troubles that every bench of ours can play; others of a site's own are left out.
KNOWN_TROUBLES = {"hang", "pauses", "burst"}


# How a value is drawn: each takes (random, old value, the place's table) and gives the new value; None takes it out.
def one_of(*values):
    return lambda r, old, at: r.choice(values)


def span(low, high, width=1.4, digits=3):
    """A range as site files have them: its middle somewhere from low to high, by ratio."""
    def draw(r, old, at):
        middle = low * (high / low) ** r.random()
        return [float(f"{middle / width ** 0.5:.{digits}g}"), float(f"{middle * width ** 0.5:.{digits}g}")]
    return draw


def scaled(low, high, least=None):
    """The old value times a factor; whole numbers stay whole."""
    def draw(r, old, at):
        factor = low * (high / low) ** r.random()
        def times(v):
            v = max(v * factor, least or 0)
            return max(1, round(v)) if isinstance(old, int) else float(f"{v:.3g}")
        return [times(v) for v in old] if isinstance(old, list) else times(old)
    return draw


def kept_or(chance, draw):
    return lambda r, old, at: draw(r, old, at) if r.random() < chance else old


ZONES = ["north", "harbour", "mill", "airport", "lakeside", "old-town", "hill", "ferry"]
WORDS = ["lookup", "booking", "charge", "report", "renewal", "permit", "survey", "dispatch", "closing", "audit"]
SOME = one_of(True, True, False)
MOSTLY = one_of(True, True, True, False)

# part: what --only names; place: dotted, '*' is each of a list (and of a table that the site lacks: none).
TABLE = [
    # part, place, draw
    ("load", "load.quiet", span(0.35, 0.65)),
    ("load", "load.trouble", span(0.45, 0.75, 1.25)),
    ("load", "load.big", span(0.45, 0.75, 1.25)),
    ("load", "load.shape", one_of(["steady"], ["wave"], ["steady", "wave"])),
    ("load", "load.swing", span(0.03, 0.3, 2)),
    ("load", "load.zone_skew", one_of([0.0, 0.05], [0.1, 0.3], [0.4, 0.7])),
    ("load", "load.worth_by", one_of("request", "work")),
    ("load", "load.hints", one_of("none", "none", "rough", "good")),
    ("load", "load.over_share_worth", one_of(0.05, 0.2, 0.5)),
    ("load", "load.quota_of_capacity", one_of([0.6, 0.75], [0.75, 0.95], [0.95, 1.2])),
    ("scale", "scale.servers", scaled(0.7, 1.6, 8)),
    ("scale", "scale.big_servers", scaled(0.7, 1.6, 12)),
    ("net", "net.same_ms", span(0.08, 0.4, 2)),
    ("net", "net.cross_ms", span(0.4, 8, 1.6)),
    ("net", "net.client_ms", span(0.05, 1, 3)),
    ("net", "net.server_skew", one_of([0.05, 0.1], [0.2, 0.4], [0.4, 0.7])),
    ("clients", "clients.retries", one_of([0, 1.99], [1, 2.99], [2, 3.99])),
    ("clients", "clients.backoff", one_of(["none"], ["fixed"], ["exp"], ["none", "fixed", "exp"])),
    ("clients", "clients.honour", one_of([0.1, 0.3], [0.3, 0.7], [0.8, 1.0])),
    ("clients", "clients.backoff_ms", one_of([10, 80], [40, 200])),
    ("clients", "clients.impatient", one_of(0, [0, 0.02], [0.02, 0.06])),
    ("clients", "clients.marks_retry", SOME),
    ("allow", "allow.cancel", SOME),
    ("allow", "allow.second_copies", one_of(True, False)),
    ("allow", "allow.retry_after", MOSTLY),
    ("allow", "allow.max_attempts", one_of(2, 3, 4, 5)),
    ("rules", "rules.drain_grace_ms", one_of(200, 300, 600, 1000, 3000)),
    ("rules", "rules.fall_multiple", one_of(2, 2.5, 3)),
    ("rules", "rules.fall_ms", one_of(1000, 2000, 3000)),
    ("prices", "prices.cross_zone", one_of(0.003, 0.01, 0.03)),
    ("prices", "prices.waste", one_of(0.01, 0.03, 0.12)),
    ("prices", "prices.late_fail", one_of(0.03, 0.07, 0.15)),
    ("cells", "tier.*.cell_size", one_of([1, 2], [2, 3], [3, 5], [4, 8], [8, 12])),
    ("weights", "tier.*.weights", one_of("none", "nominal", "rough", "live")),
    ("reports", "tier.*.report.fields", one_of(
        ["queue", "inflight", "x0"], ["queue", "latency_ms", "x0"], ["inflight"], ["util", "x0"],
        ["latency_ms", "eps"], ["queue", "inflight", "util", "x0"], ["qps", "eps", "util"])),
    ("reports", "tier.*.report.period_ms", span(200, 1500, 2)),
    ("reports", "tier.*.report.delay_ms", span(60, 500, 2)),
    ("conn", "tier.*.conn.handshake_us", span(500, 6000, 1.8)),
    ("conn", "tier.*.conn.idle_s", one_of(2, 5, 15)),
    ("conn", "tier.*.conn.connect_timeout_ms", one_of(120, 200, 300)),
    ("probes", "tier.*.probe.work_us", span(200, 4000, 2)),
    ("probes", "tier.*.probe.cap_per_core", span(2, 10, 1.6)),
    ("probes", "tier.*.probe.deep", one_of(True, False)),
    ("workers", "tier.*.kind.*.cores", one_of(2, 3, 4, 7, 8)),
    ("workers", "tier.*.kind.*.speed", span(0.6, 2.4, 1.3)),
    ("workers", "tier.*.kind.*.speed_cv", one_of([0.02, 0.08], [0.05, 0.25], [0.25, 0.4])),
    ("workers", "tier.*.kind.*.slots_per_core", one_of(1, 1, [1, 1.3], [1.5, 2])),
    ("workers", "tier.*.kind.*.queue_per_core", one_of([1.5, 3], [4, 9], [9, 20])),
    ("workers", "tier.*.kind.*.error_rate", one_of([0, 0.0005], [0, 0.003], [0.003, 0.01])),
    ("ramps", "tier.*.kind.*.cold_from", one_of([0.1, 0.2], [0.2, 0.4], [0.4, 0.6])),
    ("ramps", "tier.*.kind.*.cold_s", one_of([2, 4], [4, 9], [12, 22])),
    ("ramps", "tier.*.kind.*.warm_by", one_of("time", "requests")),
    ("workers", "tier.*.kind.*.cancel", one_of("none", "queued", "all")),
    ("workers", "tier.*.kind.*.drops_expired", one_of(True, False)),
    ("tails", "class.*.dist", one_of("exp", "lognormal", "lognormal", "pareto")),
    ("tails", "class.*.cv", one_of([0.2, 0.7], [0.7, 1.5], [1.5, 2.8])),
    ("tails", "class.*.attempt_noise", one_of([0.05, 0.2], [0.1, 0.6])),
    # Shorter work makes days of more requests than a machine can play at full size.
    ("work", "class.*.work_ms", scaled(0.8, 2.5)),
    ("work", "class.*.share", scaled(0.5, 2)),
    ("aims", "class.*.aim_ms", one_of(60, 120, 200, 350)),
    ("aims", "class.*.deadline_ms", one_of(900, 1500, 3000, 5000, 12000)),
    ("aims", "class.*.worth", one_of(1, 3, 4, 10, 30)),
    ("aims", "class.*.late_worth", one_of(0, 0.1, 0.25, 0.5)),
    ("fam", "fam.order", one_of("fifo", "fifo", "backfill", "priority")),
    ("fam", "fam.tells_start", SOME),
    ("fam", "fam.drain_returns", one_of(True, False)),
    ("fam", "fam.progress_s", one_of(1.0, 2.0)),
    ("fam", "fam.class.*.slots", one_of([1.0], [1.0], [0.8, 0.2], [0.5, 0.5])),
    ("fam", "fam.class.*.priority", one_of(0, 0, 1, 2)),
    ("fam", "fam.class.*.stretch", one_of(1.0, 1.75, 2.0, 2.5, 4.0)),
]


# What hangs together and can't be drawn value by value.
def classes(r, site):
    """One to four classes; effects with their groups and windows; deadlines that the work fits in at all."""
    rows, fams = site["class"], site["fam"]["class"]
    while len(rows) > 1 and r.random() < 0.25:
        rows.pop(at := r.randrange(len(rows)))
        if at < len(fams) > 1:
            fams.pop(at)
    fams += [dict(fams[-1]) for _ in range(len(rows) - len(fams))]
    while len(rows) < 4 and r.random() < 0.4:
        rows.append(dict(r.choice(rows)))
        fams.append(dict(r.choice(fams)))
    for row, name in zip(rows, r.sample(WORDS, len(rows))):
        row["name"] = name


def effects(r, site):
    for row in site["class"]:
        row.pop("group", None), row.pop("window_ms", None)
        row["effect"] = r.choice(["safe", "keyed", "unsafe"])
        if row["effect"] == "keyed":
            row |= {"group": r.choice(["all", "zone", "cell"]), "window_ms": r.choice([400, 900, 2500, 7500])}


def zones(r, site):
    site["net"]["zones"] = r.sample(ZONES, r.choice([1, 2, 3, 4, 5, 6]))


def tenants(r, site):
    """None to twelve, with one that has most, or all alike."""
    count = r.choice([0, 1, 2, 4, 8, 12])
    parts = [1 / (i + 1) ** r.choice([0, 1, 1.5]) for i in range(count)]
    site["tenant"] = [{"name": f"tenant-{i}", "share": round(p / sum(parts), 3),
                       "usage": r.choice([[0.5, 1.0], [0.6, 1.4], [1.0, 2.0]])} for i, p in enumerate(parts)]


def list_form(r, site):
    """Pushed, or asked for with its capacity, its time for asking and its price of calls."""
    d = site["discovery"]
    for k in ("capacity", "call_lines", "timeout_ms", "all_call_s", "overbook"):
        d.pop(k, None)
    d |= {"mode": r.choice(["push", "ask"]), "notice_s": r.choice([[0.3, 1.5], [0.6, 4.8]]),
          "add_s": r.choice([[0.3, 1], [0.7, 2.4]])}
    if d["mode"] == "ask":
        d |= {"capacity": r.choice([[1, 1.5], [3, 5], [8, 12]]), "call_lines": r.choice([[19, 79], [40, 60]]),
              "timeout_ms": r.choice([2000, 3000])}
        if r.random() < 0.5:
            d |= {"all_call_s": r.choice([[5, 8], [20, 30]]), "overbook": 1}


def reports(r, site):
    """Load by probes, in answers, or not at all; probes allowed or not."""
    probes = site["allow"]["probes"] = r.choice([True, True, False])
    for tier in site["tier"]:
        tier["report"]["how"] = r.choice(["probe", "answers", "none"] if probes else ["answers", "none"])


def kinds(r, site):
    """One to three machine kinds."""
    for tier in site["tier"]:
        while len(tier["kind"]) > 1 and r.random() < 0.2:
            tier["kind"].pop()


WHOLE = [("classes", classes), ("effects", effects), ("zones", zones), ("tenants", tenants),
         ("list", list_form), ("reports", reports), ("workers", kinds)]


def keep_playable(site):
    """What no draw may break: work fits its deadline, a job fits some worker, shares sum to about one."""
    for row in site["class"]:
        work = max(row["work_ms"]) if isinstance(row["work_ms"], list) else row["work_ms"]
        row["deadline_ms"] = max(row["deadline_ms"], int(2 * work))
        row["aim_ms"] = min(row["aim_ms"], row["deadline_ms"] // 3)
        if row["dist"] == "pareto" and max(row["cv"]) < 1:
            row["cv"] = [1.4, 2.8]
        if row["dist"] == "exp":
            row["cv"] = [0.7, 1.5]
    total = sum(sum(row["share"]) / 2 for row in site["class"])
    for row in site["class"]:
        row["share"] = [round(v / total, 3) for v in row["share"]]
    for tier in site["tier"]:
        total = sum(sum(kind["share"]) / 2 for kind in tier["kind"])
        for kind in tier["kind"]:
            kind["share"] = [round(v / total, 3) for v in kind["share"]]
    site["trouble"] = [t for t in site.get("trouble", []) if t["name"] in KNOWN_TROUBLES]


def draw(site, seed, only):
    # A stream of numbers for each place: a row that is added to TABLE leaves what other rows draw as it was.
    def stream(place):
        return random.Random(f"{site['stock']}/{seed}/{place}")
    for part, change in WHOLE:
        if not only or part in only:
            change(stream(change.__name__), site)
    for part, place, change in TABLE:
        if only and part not in only:
            continue
        r = stream(place)
        *path, last = place.split(".")
        tables = [site]
        for step in path:
            tables = [x for t in tables for x in (t if step == "*" else [t[step]] if step in t else [])]
        for at in tables:
            # A key that the site leaves out stays out: its absence is legal, another value might not be.
            if last in at:
                at[last] = change(r, at[last], at)
    keep_playable(site)
    return site


def value(v):
    if isinstance(v, bool):
        return str(v).lower()
    if isinstance(v, list):
        return "[" + ", ".join(value(x) for x in v) + "]"
    return f'"{v}"' if isinstance(v, str) else str(v)


def text(table, path=()):
    """TOML as site files use it: values first, then tables, then lists of tables."""
    is_tables = lambda v: isinstance(v, list) and v and all(isinstance(x, dict) for x in v)
    out = [f"{k} = {value(v)}" for k, v in table.items() if not isinstance(v, dict) and not is_tables(v)]
    for k, v in table.items():
        if isinstance(v, dict):
            out += ["", f"[{'.'.join([*path, k])}]", text(v, (*path, k))]
    for k, v in table.items():
        if is_tables(v):
            for row in v:
                out += ["", f"[[{'.'.join([*path, k])}]]", text(row, (*path, k))]
    return "\n".join(out)


def main():
    a = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    a.add_argument("site", nargs="?", type=Path)
    a.add_argument("--seeds", default="1", help="one, or A-B")
    a.add_argument("--out", type=Path, default=Path(__file__).parent / "made")
    a.add_argument("--only", default="", help="parts of the table, with commas; the rest stays the site's")
    a.add_argument("--list", action="store_true", help="prints the table's parts and places")
    a = a.parse_args()
    if a.list:
        for part, place in [(p, f.__name__) for p, f in WHOLE] + [(p, where) for p, where, _ in TABLE]:
            print(f"{part:10} {place}")
        return 0
    only = set(filter(None, a.only.split(",")))
    unknown = only - {row[0] for row in WHOLE + TABLE}
    if not a.site or unknown:
        print(f"unknown part: {', '.join(sorted(unknown))}" if unknown else "which site?", file=sys.stderr)
        return 1
    first, _, last = a.seeds.partition("-")
    for seed in range(int(first), int(last or first) + 1):
        site = draw(tomllib.loads(a.site.read_text()), seed, only)
        site["name"] = name = f"{re.sub('[^a-z]', '', site['name'])[:6]}-{seed}"
        to = a.out / name
        to.mkdir(parents=True, exist_ok=True)
        (to / f"{name}.toml").write_text(text(site) + "\n")
        for beside in BESIDE:
            shutil.copyfile(a.site.parent / beside, to / beside)
        d, tier = site["discovery"], site["tier"][0]
        print(f"{to / name}.toml  {d['mode']}, {tier['report']['how']}, weights {tier['weights']}, "
              f"{len(site['net']['zones'])} zones, {len(site['tenant'])} tenants, classes "
              + ", ".join(f"{c['effect']}{'/' + c['group'] if 'group' in c else ''} {c['deadline_ms']}ms"
                          for c in site["class"]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
