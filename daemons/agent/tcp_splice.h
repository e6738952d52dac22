//===- tcp_splice.h - Joins a caller's flow to its target -------*- C++ -*-===//
///
/// \file
/// Forwards the bytes of a TCP service that the agent does not parse.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_AGENT_TCP_SPLICE_H
#define MARJORAMRAIL_DAEMONS_AGENT_TCP_SPLICE_H

#include "flow_handler.h"
#include "flow_output.h"
#include "marjoramrail/runtime.h"

namespace marjoramrail {

/// Copies the bytes of an opaque service between a caller's flow and a kernel
/// connection to the target. Each direction is closed on its own.
///
/// Either side may be slower than the other. Without back-pressure the agent
/// would queue the difference until the VM runs out of memory. So while the
/// queue to the target is long, the caller's receive window is not opened, and
/// while the queue to the caller is long, the agent does not read from the
/// target.
class tcp_splice : public flow_handler {
public:
  /// Bytes queued in one direction before the sending side is throttled.
  static constexpr std::size_t MaxQueued = 256 * 1024;

  tcp_splice(event_loop &Loop, std::unique_ptr<stack_flow> Caller,
             const endpoint &Target, flow_end_hook OnFlowEnd);
  ~tcp_splice() override;

  /// Does nothing: an opaque byte stream has no end except the flow's own.
  void drain() override {}

private:
  void listenToCaller();
  tcp_stream::hooks targetHooks();
  void toTarget(std::string_view Bytes);
  void toCaller(std::string_view Bytes);
  void pump();
  void targetDrained();
  void targetClosed(const std::string &Reason);
  void endFlow(handler_end End);

  std::unique_ptr<stack_flow> Caller;
  flow_output Output;
  std::unique_ptr<tcp_stream> Target;
  flow_end_hook OnFlowEnd;
  std::size_t Unconsumed = 0;
  bool Paused = false;
  bool TargetEnded = false;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_DAEMONS_AGENT_TCP_SPLICE_H
