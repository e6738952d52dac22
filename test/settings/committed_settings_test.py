#!/usr/bin/env python3
"""Checks the settings of both deployments that are kept in settings/.

usage: committed_settings_test.py SOURCE_FOLDER BUILD_FOLDER

They must equal what scripts/make-settings writes, and every program must accept
its own. Otherwise a daemon that rejects its settings would be noticed only when
a VM is replaced, and an outdated example would be copied to a VM.
"""
import filecmp
import json
import os
import subprocess
import sys
import tempfile

DEPLOYMENTS = ["vlaamse-visexport", "kivu-poolcare"]


def files_in(folder):
    return sorted(os.path.relpath(os.path.join(root, name), folder)
                  for root, _, names in os.walk(folder) for name in names)


def differences(source, name):
    """Returns the files that differ from what the generator writes now."""
    with tempfile.TemporaryDirectory() as scratch:
        folder = os.path.join("settings", name)
        subprocess.run([os.path.join(source, "scripts/make-settings"), name,
                        folder, "--records", os.path.join("out", name)],
                       cwd=scratch, check=True)
        kept = os.path.join(source, folder)
        written = os.path.join(scratch, folder)
        names = sorted(set(files_in(kept)) | set(files_in(written)))
        _, differing, missing = filecmp.cmpfiles(kept, written, names,
                                                 shallow=False)
        return differing + missing


def refusals(source, build, name):
    """Runs every program of a deployment with --check_settings."""
    folder = os.path.join(source, "settings", name)
    with open(os.path.join(folder, "site.json")) as file:
        processes = json.load(file)["processes"]
    processes = [(p["program"], p["settings"]) for p in processes]
    processes += [("standins/load/marjoram-load", "load-%d.json" % i)
                  for i in (1, 2)]
    refused = []
    for program, settings in processes:
        command = [os.path.join(build, program), "--check_settings",
                   "--settings=" + os.path.join(folder, settings)]
        run = subprocess.run(command, capture_output=True, text=True)
        if run.returncode != 0:
            refused.append("%s: %s" % (settings, run.stderr.strip()))
    objects = [os.path.join(folder, "objects/site.json"),
               os.path.join(folder, "change.json")]
    for path in objects:
        command = [os.path.join(build, "daemons/marjoramctl/marjoramctl"),
                   "validate", path]
        run = subprocess.run(command, capture_output=True, text=True)
        if run.returncode != 0:
            refused.append("%s: %s" % (path, run.stderr.strip()))
    return refused


def main():
    source, build = os.path.abspath(sys.argv[1]), os.path.abspath(sys.argv[2])
    faults = []
    for name in DEPLOYMENTS:
        faults += ["settings/%s/%s differs from what scripts/make-settings "
                   "writes; fix with: scripts/make-settings %s settings/%s "
                   "--records out/%s" % (name, path, name, name, name)
                   for path in differences(source, name)]
        faults += refusals(source, build, name)
    for fault in faults:
        print(fault)
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
