//===- load_pages.h - Fake status pages of balancers ------------*- C++ -*-===//
///
/// \file
/// Status pages with the load of agents, for tests of the verb "load".
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_MARJORAMCTL_LOAD_PAGES_H
#define MARJORAMRAIL_TEST_MARJORAMCTL_LOAD_PAGES_H

#include <string>

namespace marjoramrail::ctl {

/// Returns the entry of an agent of the service "ledger" with 4 slots.
inline std::string agentJson(const std::string &Agent, const std::string &Zone,
                             int ReportAgeMs, const std::string &Capacity = "",
                             int Busy = 700, int Flows = 10) {
  return R"({"agent": ")" + Agent + R"(", "service": "ledger", "zone": ")" +
         Zone +
         R"(", "admitting": true, "suspect": false, "evacuated": false,)"
         R"( "active": 3, "slots": 4, "flows": )" +
         std::to_string(Flows) + R"(, "busy": )" + std::to_string(Busy) +
         R"(, "report_age_ms": )" + std::to_string(ReportAgeMs) +
         (Capacity.empty() ? "" : R"(, "capacity": )" + Capacity) + "}";
}

/// A page with a full agent, one without a long report and one without any.
inline const std::string BusyPage = R"({
  "sure": true, "routes": 43, "service_levels": true,
  "agents": [
    {"agent": "10.1.0.16:8172", "service": "ledger", "zone": "brugge",
     "admitting": true, "suspect": false, "evacuated": false, "flows": 120,
     "busy": 700, "active": 5, "slots": 4, "report_age_ms": 120,
     "capacity": {"free_slots": 0, "waiting": [0, 1, 7, 0],
                  "wait_ms": [3, 5, 160, 160]}},
    {"agent": "10.2.0.1:8172", "service": "ledger", "zone": "oostende",
     "admitting": true, "suspect": false, "evacuated": false, "flows": 3,
     "busy": 100, "active": 0, "slots": 2, "report_age_ms": 10},
    {"agent": "10.3.0.1:8172", "service": "mail", "zone": "zeebrugge",
     "admitting": false, "suspect": false, "evacuated": true, "flows": 0,
     "busy": 0, "active": 0, "slots": 1, "report_age_ms": null}],
  "admission": [{"service": "ledger", "refuses_from_priority": 2,
                 "since_ms": 1400, "refused": 312}],
  "evacuated_zones": {"zeebrugge": 2.5}, "evacuations_version": 3})";

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_TEST_MARJORAMCTL_LOAD_PAGES_H
