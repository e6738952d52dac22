//===- audit_report.h - The report of an experiment -------------*- C++ -*-===//
///
/// \file
/// Turns evidence and its audit into the report that people read.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_AUDIT_REPORT_H
#define MARJORAMRAIL_STANDINS_AUDIT_REPORT_H

#include "audit.h"

namespace marjoramrail::standins {

experiment_report reportOf(const std::string &Title, const audit_input &Input,
                           const audit_result &Result);

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_AUDIT_REPORT_H
