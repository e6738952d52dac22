//===- caller_flow.h - HTTP/2 session of a caller ---------------*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_PROXY_CALLER_FLOW_H
#define MARJORAMRAIL_SRC_PROXY_CALLER_FLOW_H

#include "marjoramrail/proxy.h"

namespace marjoramrail::internal {

/// Number of a flow, unique at this agent. A new flow from a reused port has
/// another number, so that it cannot receive answers to the previous flow's
/// requests.
enum class flow_number : std::uint64_t {};

/// The flow and stream on which an answer is returned.
struct reply_address {
  flow_number Flow{};
  h2_stream Stream = 0;

  // clang-tidy reports a compiler-generated variable here.
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto operator<=>(const reply_address &) const = default;
};

struct caller_flow_hooks {
  std::function<void(reply_address, const h2_head &, bool End)> OnRequest;
  std::function<void(reply_address, std::string_view, bool End)> OnBody;
  /// The caller cancelled the request.
  std::function<void(reply_address)> OnCancel;
  /// Bytes were received, so flow-control windows may have been extended.
  std::function<void()> OnInput;
  std::function<void(flow_number)> OnDestroyed;
};

/// The HTTP/2 server session of one caller or peer.
class caller_flow {
public:
  caller_flow(flow_number Number, const flow_origin &Origin,
              proxy_flow::hooks FlowHooks, caller_flow_hooks ProxyHooks,
              instant Now);
  ~caller_flow();
  caller_flow(const caller_flow &) = delete;
  caller_flow &operator=(const caller_flow &) = delete;

  void input(std::string_view Bytes);
  void respond(h2_stream Stream, const h2_head &Head, bool End);
  void data(h2_stream Stream, std::string_view Bytes, bool End);
  void reset(h2_stream Stream, h2_error Code);
  std::size_t queued(h2_stream Stream) const { return Session.queued(Stream); }
  /// Extends the receive window of a body by \p Bytes.
  void consumed(h2_stream Stream, std::size_t Bytes);
  void flush();

  const flow_origin &origin() const { return Origin; }
  std::size_t openRequests() const { return Session.openStreams(); }

  void startShutdown();
  void finishShutdown();

  /// Sends a PING on a flow that received nothing since the last check, and
  /// ends the flow if nothing was received for \p Bound. Returns true if it
  /// ended.
  bool checkLiveness(instant Now, duration Bound);

private:
  h2_hooks sessionHooks();
  void endFlow(proxy_flow_end Why);
  void endIfDone();

  flow_number Number;
  flow_origin Origin;
  proxy_flow::hooks FlowHooks;
  caller_flow_hooks ProxyHooks;
  h2_session Session;
  bool ReceivedSinceCheck = true;
  instant LastReceived;
  bool ShuttingDown = false;
  bool FlowEnded = false;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_PROXY_CALLER_FLOW_H
