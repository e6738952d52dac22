#include "h2_side.h"

namespace marjoramrail {

static std::uint64_t callerHash(const flow_key &Flow) {
  // The port is left out, so that all flows of one caller count as one caller.
  return hashOf({{Flow.Caller.Address, 0}, Flow.Service}, 0);
}

h2_side::h2_side(std::unique_ptr<stack_flow> Flow, request_proxy &Proxy,
                 flow_end_hook OnFlowEnd)
    : Caller(std::move(Flow)), Output(*Caller),
      OnFlowEnd(std::move(OnFlowEnd)) {
  listenToCaller();
  proxy_flow::hooks Hooks;
  Hooks.Output = [this](std::string_view Bytes) { Output.write(Bytes); };
  Hooks.OnEnded = [this](proxy_flow_end Why) { onSessionEnded(Why); };
  Session = Proxy.open({callerHash(Caller->key()), false}, std::move(Hooks));
}

h2_side::~h2_side() = default;

void h2_side::listenToCaller() {
  stack_flow::hooks Hooks;
  Hooks.OnData = [this](std::string_view Bytes) {
    Caller->consumed(Bytes.size());
    Session->input(Bytes);
  };
  Hooks.OnEnd = [this] { onSessionEnded(proxy_flow_end::Finished); };
  Hooks.OnWritable = [this] { pump(); };
  Hooks.OnClosed = [this](flow_end End) {
    endFlow(End == flow_end::Finished ? side_end::Closed : side_end::Gone);
  };
  Caller->setHooks(std::move(Hooks));
}

void h2_side::onSessionEnded(proxy_flow_end Why) {
  if (Why == proxy_flow_end::Unresponsive) {
    Caller->abort();
    return endFlow(side_end::Gone);
  }
  Ending = true;
  pump();
}

void h2_side::pump() {
  Output.pump();
  if (!Ending || Output.size() > 0)
    return;
  Caller->close();
  endFlow(side_end::Closed);
}

void h2_side::endFlow(side_end End) {
  if (const auto Hook = std::exchange(OnFlowEnd, nullptr))
    Hook(End);
}

} // namespace marjoramrail
