//===- caller_flow.h - A caller's session -----------------------*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_PROXY_CALLER_FLOW_H
#define MARJORAMRAIL_SRC_PROXY_CALLER_FLOW_H

#include "marjoramrail/proxy.h"

namespace marjoramrail::internal {

/// The number of a flow at this agent. A port used again gets a new one, so
/// that an answer to the former flow's request cannot reach it.
enum class flow_number : std::uint64_t {};

/// Where an answer goes.
struct reply_address {
  flow_number Flow{};
  h2_stream Stream = 0;

  // The linter sees a variable of the compiler's own in it.
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto operator<=>(const reply_address &) const = default;
};

struct caller_flow_hooks {
  std::function<void(reply_address, const h2_head &, bool End)> OnRequest;
  std::function<void(reply_address, std::string_view, bool End)> OnBody;
  /// The caller gave the request up, or the flow is over.
  std::function<void(reply_address)> OnCancel;
  /// Bytes came, so windows may have opened.
  std::function<void()> OnInput;
  std::function<void(flow_number)> OnDestroyed;
};

class caller_flow {
public:
  caller_flow(flow_number Number, const flow_origin &Origin,
              proxy_flow::hooks Outer, caller_flow_hooks Inner, instant Now);
  ~caller_flow();
  caller_flow(const caller_flow &) = delete;
  caller_flow &operator=(const caller_flow &) = delete;

  void input(std::string_view Bytes);
  void respond(h2_stream Stream, const h2_head &Head, bool End);
  void data(h2_stream Stream, std::string_view Bytes, bool End);
  void reset(h2_stream Stream, h2_error Code);
  std::size_t queued(h2_stream Stream) const { return Session.queued(Stream); }
  /// Lets the caller send \p Bytes more of a body.
  void consumed(h2_stream Stream, std::size_t Bytes);
  void flush();

  const flow_origin &origin() const { return Origin; }
  std::size_t openRequests() const { return Session.openStreams(); }

  void startShutdown();
  void finishShutdown();

  /// Probes a quiet flow, and ends it when it stays quiet.
  bool checkLiveness(instant Now, duration Bound);

private:
  h2_hooks sessionHooks();
  void endFlow(proxy_flow_end Why);
  void endIfDone();

  flow_number Number;
  flow_origin Origin;
  proxy_flow::hooks Outer;
  caller_flow_hooks Inner;
  h2_session Session;
  bool ReceivedSinceCheck = true;
  instant LastReceived;
  bool ShuttingDown = false;
  bool FlowEnded = false;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_PROXY_CALLER_FLOW_H
