//===- audit_report.h - Report of an experiment -----------------*- C++ -*-===//
///
/// \file
/// Builds the HTML and JSON report from the records and the audit result.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_AUDIT_REPORT_H
#define MARJORAMRAIL_STANDINS_AUDIT_REPORT_H

#include "audit.h"

namespace marjoramrail::standins {

/// Returns the report of the experiment with the heading \p Title.
experiment_report reportOf(const std::string &Title, const audit_input &Input,
                           const audit_result &Result);

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_AUDIT_REPORT_H
