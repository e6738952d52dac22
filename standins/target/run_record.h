//===- run_record.h - What ran on one target --------------------*- C++ -*-===//
///
/// \file
/// One JSON line per event of a request, appended to a file: the judge of
/// at-most-once, misrouting and imbalance, since it does not rest on the
/// system's own word.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_RUN_RECORD_H
#define MARJORAMRAIL_STANDINS_RUN_RECORD_H

#include "marjoramrail/base.h"

#include <fstream>
#include <string>

namespace marjoramrail::standins {

enum class run_event { Begin, End, Cancel, Shed };

inline constexpr name_table<run_event, 4> RunEventNames = {{
    {run_event::Begin, "begin"},
    {run_event::End, "end"},
    {run_event::Cancel, "cancel"},
    {run_event::Shed, "shed"},
}};

/// What a request says of itself.
struct request_metadata {
  /// The service that the caller meant.
  std::string Service;
  /// The caller's own number of the request.
  std::string Request;
  std::string Key;
};

class run_record {
public:
  /// \p Path may be empty: nothing is kept.
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
