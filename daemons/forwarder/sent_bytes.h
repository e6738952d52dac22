//===- sent_bytes.h - Bytes sent, by message and zone -----------*- C++ -*-===//
///
/// \file
/// Counts the bytes that a process sends, by kind of message and by whether
/// they leave its zone. Links between zones are charged for; the counts show
/// which messages cross them.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_SENT_BYTES_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_SENT_BYTES_H

#include "event_log.h"

#include <array>
#include <string>

namespace marjoramrail::daemons {

enum class message_kind {
  /// A caller's packet on the way to an agent.
  Packet,
  /// A target's packet on the way to its caller, or a reset.
  Answer,
  /// Load reports, owner notices, and requests for load reports.
  LoadReport,
  /// Reports of open flows, and requests for them.
  FlowReport,
  /// Sync messages between balancers.
  Sync,
  /// Complete lists of objects that a balancer serves to another one.
  Copy,
  /// Requests of an agent that balancers register its target.
  Registration,
};

inline constexpr name_table<message_kind, 7> MessageKindNames = {{
    {message_kind::Packet, "packet"},
    {message_kind::Answer, "answer"},
    {message_kind::LoadReport, "load_report"},
    {message_kind::FlowReport, "flow_report"},
    {message_kind::Sync, "sync"},
    {message_kind::Copy, "copy"},
    {message_kind::Registration, "registration"},
}};

enum class message_range {
  /// The receiver is in the sender's zone.
  OwnZone,
  OtherZone,
  /// The sender does not know the receiver's zone.
  UnknownZone,
};

inline constexpr name_table<message_range, 3> MessageRangeNames = {{
    {message_range::OwnZone, "own"},
    {message_range::OtherZone, "other"},
    {message_range::UnknownZone, "unknown"},
}};

class sent_bytes {
public:
  /// IPv4 and UDP headers of a datagram.
  static constexpr std::uint64_t HeaderBytes = 28;
  /// The counts are logged after every Period in which anything was sent.
  static constexpr duration Period = std::chrono::seconds(5);

  sent_bytes(event_loop &Loop, event_log &Log, metrics &Metrics);

  /// Counts a message of \p Bytes bytes, without headers.
  void add(message_kind Kind, message_range Range, std::size_t Bytes);
  /// The counts since the start as text, messages and bytes with headers:
  /// "sync own 12 1530, sync other 2 260".
  std::string text() const;

private:
  struct count {
    std::uint64_t *Messages = nullptr;
    std::uint64_t *Bytes = nullptr;
  };

  count &countOf(message_kind Kind, message_range Range);

  event_log &Log;
  metrics &Metrics;
  std::array<std::array<count, MessageRangeNames.size()>,
             MessageKindNames.size()>
      Counts{};
  bool IsLogged = true;
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_SENT_BYTES_H
