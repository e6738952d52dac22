//===- process_pages.h - Pages of the forwarding processes ------*- C++ -*-===//
///
/// \file
/// The readiness page, the status pages and the metrics that the forwarding
/// balancer and the forwarding agent have in common.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_PROCESS_PAGES_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_PROCESS_PAGES_H

#include "event_log.h"
#include "site_adapter.h"

#include <algorithm>

namespace marjoramrail::daemons {

/// Answers readiness probes with 200 while \p Ready returns true and with 503
/// otherwise.
status_page::hooks readyHooks(const site_adapter &Adapter,
                              std::function<bool()> Ready);

/// Adds the pages /timeline and /status.
void addStatusPages(status_page::hooks &Hooks, const event_log &Log,
                    std::function<std::string()> StatusJson);

/// Exports the number of store calls and of log lines.
void showProcess(metrics &Metrics, const platform_client &Store,
                 const event_log &Log);

/// Exports one counter for each enumerator of \p Names, called \p Prefix and
/// the enumerator's name.
template <typename Enum, std::size_t Size>
void showOutcomes(metrics &Metrics, const name_table<Enum, Size> &Names,
                  const std::array<std::uint64_t, Size> &Counts,
                  const std::string &Prefix = "marjoramrail_packets_") {
  for (std::size_t I = 0; I < Size; ++I) {
    std::string Name = Prefix + std::string(Names[I].second);
    std::replace(Name.begin(), Name.end(), ' ', '_');
    Metrics.counterOf(Name,
                      [&Counts, I] { return static_cast<double>(Counts[I]); });
  }
}

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_PROCESS_PAGES_H
