#!/usr/bin/env python3
"""Shows where a day loses worth, from its report and the log of its entries.

usage: binding.py REPORT LOG

REPORT and LOG are written by
`fleetbench run SITE DAY --report REPORT --log edge > LOG`.
Prints the windows that lost most worth, the endings of their jobs by the reasons
in the log, the times of each step of recovery after all machines were lost, and
an upper bound of the worth.

The bound makes these assumptions. Jobs that are sent while no entry runs, or
that are open when all machines are lost, earn the value of a late answer (a
fifth). Jobs sent in the last 0.3 s before the first entry is back, and all
others, are in time. Prices are those of the report. Jobs are assigned to windows
by the time of their first sending and spread evenly over the two seconds of a
window. No dispatcher can start a job before an entry runs. The bound ignores
the capacity of the backend servers, which is scarce for about a second after
recovery.
"""

import collections
import json
import sys

WINDOW_S = 2.0
LATE_SHARE = 0.2
# Jobs sent this long before the loss of all machines are still open at the loss,
# given the objectives and run times of ordinary jobs.
OPEN_S = 0.15
# The shorter half of the objectives ends within this time.
PATIENT_S = 0.3
TOTAL_LOSSES = ("power_off_all", "kill_all")


def read_events(path):
    """Yields the log lines of cactusmast as (time, process, fields)."""
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            parts = line.split(None, 2)
            if len(parts) == 3 and parts[2].startswith("{"):
                try:
                    yield float(parts[0]), parts[1], json.loads(parts[2])
                except ValueError:
                    continue


def endings_by_window(events):
    """Returns the number of endings and refusals by window and reason."""
    counts = collections.defaultdict(collections.Counter)
    for time, _, event in events:
        window = int(time // WINDOW_S * WINDOW_S)
        if event["name"] == "job_decided":
            late = "" if event["in_objective"] == "yes" else ", late"
            reason = f": {event['reason']}" if event["reason"] else ""
            counts[window][f"{event['ending']}{reason}{late}"] += 1
        elif event["name"] == "job_refused" and event.get("code") != "overloaded":
            counts[window][f"not accepted: {event['reason'][:60]}"] += 1
        elif event["name"] == "job_cancelled":
            counts[window][f"withdrawn: {event['reason']}"] += 1
    return counts


def total_loss(report):
    """Returns the time at which all machines were lost, or None."""
    for event in report["events"]:
        if any(kind in event["kind"] for kind in TOTAL_LOSSES):
            return event["at_s"]
    return None


def return_times(events, lost_at):
    """Returns first, median and last time of each recovery step over the entries."""
    steps = {"process_started": {}, "config_in_force": {}, "peer_up": {},
             "job_accepted": {}, "tasks_placed": {}}
    completed = []
    for time, process, event in events:
        if time <= lost_at + 0.05:
            continue
        name = event["name"]
        if name in steps:
            steps[name].setdefault(process, time)
        if name == "job_decided" and event["ending"] == "completed":
            completed.append(time)
    rows = []
    started = steps["process_started"]
    if not started:
        return rows
    for name, times in steps.items():
        values = sorted(time for process, time in times.items()
                        if process in started and time >= started[process])
        if values:
            rows.append((name, values[0], values[len(values) // 2], values[-1]))
    completed = sorted(time for time in completed if time > min(started.values()))
    if len(completed) >= 10:
        rows.append(("completed: first, tenth", completed[0], completed[9], completed[9]))
    return rows


def bound_of_windows(report, lost_at, back_at):
    """Returns the bound of the worth by window; see the module's comment."""
    bounds = {}
    for window in report["windows"]:
        start = float(window["name"])
        if lost_at is None:
            bounds[start] = 1.0
            continue
        begin = max(start, lost_at - OPEN_S)
        end = min(start + WINDOW_S, back_at - PATIENT_S)
        bounds[start] = 1.0 - (1 - LATE_SHARE) * max(0.0, end - begin) / WINDOW_S
    return bounds


def main():
    with open(sys.argv[1], encoding="utf-8") as file:
        report = json.load(file)
    events = list(read_events(sys.argv[2]))
    parts = {part[0]: (part[1], part[2]) for part in report["parts"]}
    prices = sum(price[2] for price in report["prices"])
    print(f"worth {report['G']:.3f}; prices {prices:.3f}; " +
          "; ".join(f"{name} {value:.3f} (weight {weight})"
                    for name, (weight, value) in parts.items()))

    lost_at = total_loss(report)
    back_at = None
    if lost_at is not None:
        rows = return_times(events, lost_at)
        if rows:
            back_at = rows[0][1]
            print(f"\nafter everything was lost at {lost_at:.2f} s "
                  "(s: first, median, last entry)")
            for name, *times in rows:
                print(f"  {name:24} " + " ".join(f"{time:8.2f}" for time in times))
    if back_at is None:
        lost_at = None

    bounds = bound_of_windows(report, lost_at, back_at)
    endings = endings_by_window(events)
    losses = sorted(report["windows"], key=lambda window: (1 - window["worth"]) * window["n"],
                    reverse=True)
    total_loss_sum = sum((1 - window["worth"]) * window["n"] for window in losses) or 1
    print("\nwindows that lost most: jobs, in time, late, refused, failed, worth, "
          "bound, share of the loss")
    for window in losses[:5]:
        start = float(window["name"])
        share = (1 - window["worth"]) * window["n"] / total_loss_sum
        print(f"  {start:4.0f} s {window['n']:6} {window['in_aim']:6} {window['late']:6} "
              f"{window['refused']:6} {window['failed']:6} {window['worth']:7.3f} "
              f"{bounds[start]:7.3f} {share:6.2f}")
        for reason, count in endings[int(start)].most_common(8):
            print(f"         {count:6}  {reason}")

    worst = sorted(bounds.values())[:2]
    total = sum(one["n"] for one in report["windows"]) or 1
    day = sum(bounds[float(one["name"])] * one["n"] for one in report["windows"]) / total
    bound = (parts["whole day"][0] * day + parts["worst windows"][0] * sum(worst) / len(worst)
             + parts["worst class"][0] * day - prices)
    print(f"\nupper bound of the worth {bound:.3f}: whole day {day:.3f}, "
          f"worst windows {sum(worst) / len(worst):.3f}, prices as they are; "
          f"gap {bound - report['G']:.3f}")


if __name__ == "__main__":
    main()
