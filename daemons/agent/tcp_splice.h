//===- tcp_splice.h - A caller's flow joined to its target ------*- C++ -*-===//

#ifndef MARJORAMRAIL_DAEMONS_AGENT_TCP_SPLICE_H
#define MARJORAMRAIL_DAEMONS_AGENT_TCP_SPLICE_H

#include "flow_output.h"
#include "flow_side.h"
#include "marjoramrail/runtime.h"

namespace marjoramrail {

/// Carries the bytes of an opaque service between a caller's flow and a kernel
/// connection to the target, each direction ending for itself.
///
/// Either side may be slower than the other. Without back-pressure the agent
/// would keep the difference in memory until the VM has none left; so a caller
/// is held back by its receive window while the target's queue is long, and the
/// target by not reading from it while the caller's is.
class tcp_splice : public flow_side {
public:
  /// Bytes queued in one direction before the other side is held back.
  static constexpr std::size_t MaxQueued = 256 * 1024;

  tcp_splice(event_loop &Loop, std::unique_ptr<stack_flow> Caller,
             const endpoint &Target, flow_end_hook OnFlowEnd);
  ~tcp_splice() override;

  /// Opaque bytes have no end to wait for but the flow's own.
  void drain() override {}

private:
  void listenToCaller();
  tcp_stream::hooks targetHooks();
  void toTarget(std::string_view Bytes);
  void toCaller(std::string_view Bytes);
  void pump();
  void targetDrained();
  void targetClosed(const std::string &Reason);
  void endFlow(side_end End);

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
