//===- sweep.h - The sweeps behind docs/DECISIONS.md ------------*- C++ -*-===//

#ifndef MARJORAMRAIL_BENCH_WORK_SWEEP_H
#define MARJORAMRAIL_BENCH_WORK_SWEEP_H

#include <string>

/// Writes one CSV and one SVG per threshold to \p Folder; false if it can't.
/// Plays the sweeps whose names hold \p Only.
bool writeSweeps(const std::string &Folder, const std::string &Only);

#endif // MARJORAMRAIL_BENCH_WORK_SWEEP_H
