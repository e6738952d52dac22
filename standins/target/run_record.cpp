#include "run_record.h"

#include <nlohmann/json.hpp>

namespace marjoramrail::standins {

run_record::run_record(std::string Host, std::string Service,
                       const std::string &Path)
    : Host(std::move(Host)), Service(std::move(Service)) {
  if (!Path.empty())
    Out.open(Path, std::ios::app);
}

void run_record::add(run_event Event, const request_metadata &Metadata,
                     duration Work, instant Now) {
  if (!Out.is_open())
    return;
  const nlohmann::json Line = {
      {"event", nameOf(RunEventNames, Event)},
      {"host", Host},
      {"service", Service},
      {"meant", Metadata.Service},
      {"request", Metadata.Request},
      {"key", Metadata.Key},
      {"work_us", Work.count()},
      {"at_us", Now.time_since_epoch().count()},
  };
  // Flush each line: if a killed target lost the record of a run, a second run
  // on another target would look like the first one.
  Out << Line.dump() << std::endl;
}

} // namespace marjoramrail::standins
