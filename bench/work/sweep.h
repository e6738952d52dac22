//===- sweep.h - Parameter sweeps of admission ------------------*- C++ -*-===//
///
/// \file
/// Parameter sweeps over the thresholds of admission and relaying, whose
/// results are documented in docs/DECISIONS.md.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BENCH_WORK_SWEEP_H
#define MARJORAMRAIL_BENCH_WORK_SWEEP_H

#include <string>

/// Runs the sweeps whose names contain \p Only and writes one CSV and one SVG
/// file per threshold to \p Folder. Returns false if a file cannot be written.
bool writeSweeps(const std::string &Folder, const std::string &Only);

#endif // MARJORAMRAIL_BENCH_WORK_SWEEP_H
