#include "sent_bytes.h"

namespace marjoramrail::daemons {

sent_bytes::sent_bytes(event_loop &Loop, event_log &Log, metrics &Metrics)
    : Log(Log), Metrics(Metrics) {
  Loop.timers().every(Period, [this] {
    if (!std::exchange(IsLogged, true))
      this->Log.record(event_kind::BytesSent, text());
  });
}

sent_bytes::count &sent_bytes::countOf(message_kind Kind, message_range Range) {
  count &Count =
      Counts[static_cast<std::size_t>(Kind)][static_cast<std::size_t>(Range)];
  if (!Count.Bytes) {
    const std::string Labels =
        "message=\"" + std::string(nameOf(MessageKindNames, Kind)) +
        "\",zone=\"" + std::string(nameOf(MessageRangeNames, Range)) + "\"";
    Count.Messages =
        &Metrics.counter("marjoramrail_messages_sent_total", Labels);
    Count.Bytes = &Metrics.counter("marjoramrail_bytes_sent_total", Labels);
  }
  return Count;
}

void sent_bytes::add(message_kind Kind, message_range Range,
                     std::size_t Bytes) {
  count &Count = countOf(Kind, Range);
  ++*Count.Messages;
  *Count.Bytes += Bytes + HeaderBytes;
  IsLogged = false;
}

std::string sent_bytes::text() const {
  std::string Text;
  for (const auto &[Kind, KindName] : MessageKindNames)
    for (const auto &[Range, RangeName] : MessageRangeNames) {
      const count &Count = Counts[static_cast<std::size_t>(Kind)]
                                 [static_cast<std::size_t>(Range)];
      if (!Count.Bytes)
        continue;
      Text += Text.empty() ? "" : ", ";
      Text += std::string(KindName) + " " + std::string(RangeName) + " " +
              std::to_string(*Count.Messages) + " " +
              std::to_string(*Count.Bytes);
    }
  return Text;
}

} // namespace marjoramrail::daemons
