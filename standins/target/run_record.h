//===- run_record.h - Record of requests that ran on a target ---*- C++ -*-===//
///
/// \file
/// Appends one JSON line per event of a request to a file. The audit checks
/// at-most-once execution, misrouting and imbalance with it, because it is
/// independent of what the balancers and agents report.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_RUN_RECORD_H
#define MARJORAMRAIL_STANDINS_RUN_RECORD_H

#include "marjoramrail/base.h"

#include <fstream>
#include <string>

namespace marjoramrail::standins {

/// Events of a request on a target.
enum class run_event { Begin, End, Cancel, Shed };

inline constexpr name_table<run_event, 4> RunEventNames = {{
    {run_event::Begin, "begin"},
    {run_event::End, "end"},
    {run_event::Cancel, "cancel"},
    {run_event::Shed, "shed"},
}};

/// Header fields that identify a request.
struct request_metadata {
  /// The service that the caller addressed (x-service).
  std::string Service;
  /// The caller's identifier of the attempt (x-request).
  std::string Request;
  std::string Key;
};

/// Writes the record of one target.
class run_record {
public:
  /// If \p Path is empty, nothing is recorded.
  run_record(std::string Host, std::string Service, const std::string &Path);

  void add(run_event Event, const request_metadata &Metadata, duration Work,
           instant Now);

private:
  std::string Host;
  std::string Service;
  std::ofstream Out;
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_RUN_RECORD_H
