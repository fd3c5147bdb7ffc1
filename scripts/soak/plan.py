"""Planned work, drawn from a seed: a list of (s, what, whom)."""

import random

KINDS = ("series", "repeat", "all", "hangups", "configs", "executors")


def series(draw, seconds, entries):
    """Stops in series, three at a time each 2 s or five at a time each 0.8 s."""
    at = draw.uniform(1, 3)
    while at < seconds:
        together, gap = draw.choice(((3, 2.0), (5, 0.8), (1, 0.8), (2, 2.0)))
        order = draw.sample(range(entries), entries)
        for i, entry in enumerate(order):
            yield at + i // together * gap + draw.uniform(0, 0.1), "SIGTERM", entry
        at += draw.uniform(5, 10)


def repeat(draw, seconds, entries):
    """One entry gets SIGTERM again during its drain."""
    at = draw.uniform(1, 3)
    while at < seconds:
        entry = draw.randrange(entries)
        yield at, "SIGTERM", entry
        yield at + draw.uniform(0.1, 5.0), "SIGTERM", entry
        at += draw.uniform(2, 4)


def all_entries(draw, seconds, entries):
    """All entries are stopped within 2 s."""
    at = draw.uniform(1, 3)
    while at < seconds:
        for entry in range(entries):
            yield at + draw.uniform(0, 2), "SIGTERM", entry
        at += draw.uniform(8, 12)


def hangups(draw, seconds, _entries):
    """All entries and executors read their settings again."""
    at = draw.uniform(1, 3)
    while at < seconds:
        yield at, "SIGHUP", "all"
        at += draw.choice((draw.uniform(0.02, 0.3), draw.uniform(1, 5)))


def configs(draw, seconds, _entries):
    """New configurations, often several at once."""
    at = draw.uniform(1, 3)
    while at < seconds:
        for _ in range(draw.choice((1, 1, 2, 4))):
            yield at, "config", draw.getrandbits(32)
            at += draw.uniform(0.01, 0.1)
        at += draw.uniform(0.5, 4)


def executors(draw, seconds, _entries):
    at = draw.uniform(1, 3)
    while at < seconds:
        yield at, "stop executor", draw.getrandbits(16)
        at += draw.uniform(2, 5)


MAKERS = dict(zip(KINDS, (series, repeat, all_entries, hangups, configs, executors)))


def make_plan(seed, seconds, entries, kinds):
    steps = []
    for kind in kinds:
        draw = random.Random(f"{seed}/{kind}")
        steps += [step for step in MAKERS[kind](draw, seconds, entries) if step[0] < seconds]
    return sorted(steps, key=lambda step: step[0])


def make_config(version, salt, others):
    """The jobs' route and `others` more stay; six come and go, and time-outs
    change."""
    draw = random.Random(salt)
    names = ["jobs"] + [f"extra{i}" for i in range(6) if draw.random() < 0.5]
    names += [f"other{i}" for i in range(others)]
    routes = [{"name": name, "host": "soak.example", "prefix": f"/{name}/", "service": "s",
               "timeoutMs": draw.choice((4000, 5000, 6000)), "targetDurationMs": 400,
               "stretch": 2.0, "maxAttempts": 3, "priority": 0} for name in names]
    return {"version": version, "routes": routes, "services": [{"name": "s"}], "limits": {}}
