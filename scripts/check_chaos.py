"""Checks the guarantees against the files that a run of chaos.sh wrote.

usage: check_chaos.py DIRECTORY FAULTS JOBS TASKS

FAULTS is the number of injected faults, JOBS that of all jobs and TASKS that of
the tasks in each job.
"""

import collections
import glob
import json
import sys


def main():
    directory, faults, jobs, tasks = sys.argv[1], *map(int, sys.argv[2:5])
    starts = collections.Counter()
    for name in glob.glob(directory + "/starts-*"):
        with open(name) as lines:
            starts.update(line.strip() for line in lines if line.strip())
    broken = []
    for task, count in starts.items():
        if count > 1:
            broken.append(f"{task} started {count} times")
    states = collections.Counter()
    answered = 0
    for name in glob.glob(directory + "/answers-*"):
        with open(name) as lines:
            for line in lines:
                key, body = line.split(" ", 1)
                answered += 1
                if not body.strip():
                    states["no reply"] += 1
                    continue
                check_answer(key, json.loads(body), tasks, starts, states, broken)
    if answered != jobs:
        broken.append(f"{answered} answers to {jobs} jobs")
    print(f"faults {faults}, jobs {jobs}, answers {answered}, "
          f"starts {sum(starts.values())}, {dict(states)}")
    for violation in broken[:20]:
        print("BROKEN", violation)
    print("broken promises:", len(broken))
    sys.exit(1 if broken else 0)


def check_answer(key, body, tasks, starts, states, broken):
    """Counts the answer's state and adds violated guarantees to `broken`."""
    state = body.get("state", "error " + body.get("error", {}).get("code", ""))
    states[state] += 1
    if state not in ("complete", "failed"):
        return
    if len(body["tasks"]) != tasks:
        broken.append(f"{key} has {len(body['tasks'])} tasks")
    succeeded = 0
    for task in body["tasks"]:
        name = f"{body['job']}.{task['index']}"
        if task["outcome"] == "succeeded":
            succeeded += 1
            if json.loads(task["output"]) != {"done": name}:
                broken.append(f"{name} has the output {task['output']}")
            if starts[name] != 1:
                broken.append(f"{name} succeeded with {starts[name]} starts")
        elif task["run"] == "not_run" and starts[name] > 0:
            broken.append(f"{name} is reported as not run but was started")
    if (state == "complete") != (succeeded == tasks):
        broken.append(f"{key} is {state} with {succeeded} successes")


main()
