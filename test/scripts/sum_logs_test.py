"""Tests scripts/sum-logs: counts of processes that were restarted add up."""

import json
import pathlib
import subprocess
import unittest

SCRIPT = pathlib.Path(__file__).parents[2] / "scripts" / "sum-logs"


def line(process, event, why, wall_ms=0, **fields):
    return json.dumps({"process": process, "event": event, "why": why,
                       "wall_ms": wall_ms, **fields})


def run(lines, *options):
    return subprocess.run([SCRIPT, *options], input="\n".join(lines), text=True,
                          check=True, capture_output=True).stdout


class sum_logs_test(unittest.TestCase):

    def test_counts_of_restarted_processes_add_up(self):
        """Guards against losing what a process did before its restart."""
        output = run([
            line("edge-a-1", "store-calls", "list config 1, watch config 4"),
            line("edge-a-1", "store-calls", "list config 1, watch config 9"),
            line("edge-a-1", "store-calls", "list config 1"),
            line("edge-a-2", "store-calls", "list config 2"),
        ])
        self.assertRegex(output, r"edge +4  list config")
        self.assertRegex(output, r"edge +9  watch config")
        self.assertRegex(output, r"all +13")

    def test_bytes_are_summed_by_role_kind_and_zone(self):
        output = run([
            line("edge-a-1", "bytes-sent", "sync own 2 3000000, copy unknown 1 9"),
            line("side-a-1", "bytes-sent", "sync own 5 1000000"),
        ])
        self.assertRegex(output, r"edge +3\.00 MB +2  sync own")
        self.assertRegex(output, r"side +1\.00 MB +5  sync own")

    def test_times_of_configurations(self):
        output = run([line("edge-a-1", "routes-in-force", "version 2", age_ms=age)
                      for age in (10, 20, 90)])
        self.assertIn("median 20, 99% 90, longest 90, 3 in all", output)

    def test_lines_after_the_limit_and_other_text_are_skipped(self):
        output = run([
            "  1.0 edge-a-1 " + line("edge-a-1", "store-calls", "list config 1"),
            "no JSON { here",
            line("edge-a-1", "store-calls", "list config 7", wall_ms=5000),
        ], "--until", "1000")
        self.assertRegex(output, r"all +1\b")


if __name__ == "__main__":
    unittest.main()
