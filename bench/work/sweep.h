#ifndef MARJORAMRAIL_BENCH_WORK_SWEEP_H
#define MARJORAMRAIL_BENCH_WORK_SWEEP_H
#include <string>
/// Writes one CSV and one SVG per threshold to \p Folder; false on a bad file.
bool writeSweeps(const std::string &Folder);
#endif
