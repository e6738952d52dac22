#include "tcp_splice.h"

namespace marjoramrail {

tcp_splice::tcp_splice(event_loop &Loop, std::unique_ptr<stack_flow> Flow,
                       const endpoint &Address, flow_end_hook OnFlowEnd)
    : Caller(std::move(Flow)), Output(*Caller),
      OnFlowEnd(std::move(OnFlowEnd)) {
  Target = tcp_stream::connect(Loop, Address, targetHooks());
  listenToCaller();
}

tcp_splice::~tcp_splice() = default;

void tcp_splice::listenToCaller() {
  stack_flow::hooks Hooks;
  Hooks.OnData = [this](std::string_view Bytes) { toTarget(Bytes); };
  Hooks.OnEnd = [this] { Target->finishWriting(); };
  Hooks.OnWritable = [this] { pump(); };
  Hooks.OnClosed = [this](flow_end End) {
    endFlow(End == flow_end::Finished ? handler_end::Closed
                                      : handler_end::Released);
  };
  Caller->setHooks(std::move(Hooks));
}

tcp_stream::hooks tcp_splice::targetHooks() {
  tcp_stream::hooks Hooks;
  Hooks.OnData = [this](std::string_view Bytes) { toCaller(Bytes); };
  Hooks.OnDrained = [this] { targetDrained(); };
  Hooks.OnClosed = [this](const std::string &Reason) { targetClosed(Reason); };
  return Hooks;
}

void tcp_splice::toTarget(std::string_view Bytes) {
  Target->write(Bytes);
  if (Target->queued() <= MaxQueued)
    Caller->consumed(Bytes.size());
  else
    Unconsumed += Bytes.size();
}

void tcp_splice::targetDrained() {
  Caller->consumed(std::exchange(Unconsumed, 0));
}

void tcp_splice::toCaller(std::string_view Bytes) {
  Output.write(Bytes);
  if (Output.size() > MaxQueued && !std::exchange(Paused, true))
    Target->pauseReading(true);
}

void tcp_splice::pump() {
  Output.pump();
  if (Output.size() > 0)
    return;
  if (TargetEnded)
    return Caller->finishWriting();
  if (std::exchange(Paused, false))
    Target->pauseReading(false);
}

void tcp_splice::targetClosed(const std::string &Reason) {
  TargetEnded = true;
  if (Reason.empty())
    return pump();
  // A truncated message must not look like a complete one.
  Caller->abort();
  endFlow(handler_end::Released);
}

void tcp_splice::endFlow(handler_end End) {
  if (const auto Hook = std::exchange(OnFlowEnd, nullptr))
    Hook(End);
}

} // namespace marjoramrail
