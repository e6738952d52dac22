//===- process_pages.h - What both forwarding processes serve ---*- C++ -*-===//
///
/// \file
/// The answer to whether a process may get traffic, and the figures that both
/// kinds of process show.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_PROCESS_PAGES_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_PROCESS_PAGES_H

#include "event_log.h"
#include "site_adapter.h"

namespace marjoramrail::daemons {

/// Answers 200 while \p Ready holds, 503 otherwise.
status_page::hooks readyHooks(const site_adapter &Adapter,
                              std::function<bool()> Ready);

/// The pages /timeline and /status.
void addStatusPages(status_page::hooks &Hooks, const event_log &Log,
                    std::function<std::string()> StatusJson);

/// Calls to the store and the state of the log.
void showProcess(metrics &Metrics, const platform_client &Store,
                 const event_log &Log);

/// One counter for each enumerator of \p Names.
template <typename Enum, std::size_t Size>
void showOutcomes(metrics &Metrics, const name_table<Enum, Size> &Names,
                  const std::array<std::uint64_t, Size> &Counts) {
  for (std::size_t I = 0; I < Size; ++I)
    Metrics.counterOf("marjoramrail_packets_" + std::string(Names[I].second),
                      [&Counts, I] { return static_cast<double>(Counts[I]); });
}

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_PROCESS_PAGES_H
