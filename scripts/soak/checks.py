"""What may not happen, from what callers and backend servers saw."""

import collections
import json

LOSS_SLACK_S = 0.2
AFTER = {"SIGTERM": 7.0, "SIGHUP": 3.0, "config": 4.0}   # s


def starts_of(one, book):
    """The starts of tasks that this try asked for."""
    return [start for start in book.starts.get(one.job, ())
            if start[1].startswith(f"{one.number}/")]


def last_before(times, at):
    return at - max((time for time in times if time <= at), default=float("-inf"))


def since(one, configs):
    """s from the entry's last signals, and the last configuration, to the end."""
    result = {name: last_before([at for at, sent in one.entry.signals if sent == name],
                                one.end) for name in ("SIGTERM", "SIGHUP")}
    result["config"] = last_before(configs, one.end)
    return result


def describe(one, book, configs, begin):
    began = starts_of(one, book)
    ago = ", ".join(f"{name} {value:.3f} s" for name, value in since(one, configs).items()
                    if value < 20)
    told = f"{len(began)} starts, first {1000 * (began[0][0] - one.sent):.0f} ms after " \
           "the request" if began else "no start"
    whole = f"{1000 * (one.end - one.whole):.1f} ms after its last byte" if one.whole \
        else "before its last byte"
    return (f"{one.end - begin:.3f} s: job {one.job} try {one.number} at "
            f"{one.entry.name}.{one.life} ({one.how}) ended by {one.ended_by} {whole}; "
            f"sent {1000 * (one.end - one.sent):.1f} ms before, on a connection "
            f"{one.end - one.opened:.3f} s old with {one.earlier} requests before; "
            f"{one.received} bytes of an answer; {told}; before: {ago}")


def overlap(stretches, begin, end):
    """How much of the time from begin to end lies in the stretches, in s."""
    return sum(max(0, min(to, end) - max(since, begin)) for since, to in stretches)


def is_lost(one, book, configs, lags):
    """`lags`: when this process stood still; an end in that time may have come
    at its beginning."""
    if one.status != 0 or not one.whole:
        return False
    passed_on = bool(starts_of(one, book))
    late = one.end - one.whole - overlap(lags, one.whole, one.end) > LOSS_SLACK_S
    planned = any(value <= AFTER[name] for name, value in since(one, configs).items())
    return (passed_on or late) and planned


def check_answers(record, book):
    """Answers that can't be true, and starts of refused jobs."""
    statuses = collections.defaultdict(list)
    for one in record.tries:
        if one.job == "count":
            if one.status not in (0, 200, 404, 503) or \
                    (one.status == 200 and b'"queuedJobs":' not in one.body):
                yield f"count answered with {one.status} {one.body!r}"
            continue
        statuses[one.job].append(one.status)
        if one.status not in (0, 200, 429, 502, 503, 504):
            yield f"job {one.job} try {one.number} at {one.entry.name}: status {one.status}"
        if one.status in (429, 503) and starts_of(one, book):
            yield f"job {one.job} try {one.number} was refused, and started"
        if one.status == 200:
            state = json.loads(one.body).get("state")
            if state not in ("completed", "failed"):
                yield f"job {one.job}: foreign answer {one.body!r}"
            elif state == "completed" and \
                    len(book.done[one.job]) != record.job_tasks.get(one.job, -1):
                yield f"job {one.job} is said to be completed, and isn't"
    for at, entry in record.unasked:
        stops = [stop for stop, name in entry.signals if name == "SIGTERM"]
        if last_before(stops, at) > AFTER["SIGTERM"]:
            yield f"{entry.name} refused what nobody had sent, and wasn't draining"
    for job, seen in statuses.items():
        if book.starts.get(job) and all(status in (429, 503) for status in seen):
            yield f"job {job} was refused at all its {len(seen)} tries, and started"
