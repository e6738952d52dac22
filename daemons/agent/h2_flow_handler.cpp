#include "h2_flow_handler.h"

namespace marjoramrail {

static std::uint64_t callerHash(const flow_key &Flow) {
  // The port is left out, so that all flows of one caller count as one caller.
  return hashOf({{Flow.Caller.Address, 0}, Flow.Service}, 0);
}

h2_flow_handler::h2_flow_handler(std::unique_ptr<stack_flow> Flow,
                                 request_proxy &Proxy, flow_end_hook OnFlowEnd)
    : Caller(std::move(Flow)), Output(*Caller),
      OnFlowEnd(std::move(OnFlowEnd)) {
  listenToCaller();
  proxy_flow::hooks Hooks;
  Hooks.Output = [this](std::string_view Bytes) { Output.write(Bytes); };
  Hooks.OnEnded = [this](proxy_flow_end Why) { onSessionEnded(Why); };
  Session = Proxy.open({callerHash(Caller->key()), false}, std::move(Hooks));
}

h2_flow_handler::~h2_flow_handler() = default;

void h2_flow_handler::listenToCaller() {
  stack_flow::hooks Hooks;
  Hooks.OnData = [this](std::string_view Bytes) {
    Caller->consumed(Bytes.size());
    Session->input(Bytes);
  };
  Hooks.OnEnd = [this] { onSessionEnded(proxy_flow_end::Finished); };
  Hooks.OnWritable = [this] { pump(); };
  Hooks.OnClosed = [this](flow_end End) {
    endFlow(End == flow_end::Finished ? handler_end::Closed
                                      : handler_end::Released);
  };
  Caller->setHooks(std::move(Hooks));
}

void h2_flow_handler::onSessionEnded(proxy_flow_end Why) {
  if (Why == proxy_flow_end::Unresponsive) {
    Caller->abort();
    return endFlow(handler_end::Released);
  }
  Ending = true;
  pump();
}

void h2_flow_handler::pump() {
  Output.pump();
  if (!Ending || Output.size() > 0)
    return;
  Caller->close();
  endFlow(handler_end::Closed);
}

void h2_flow_handler::endFlow(handler_end End) {
  if (const auto Hook = std::exchange(OnFlowEnd, nullptr))
    Hook(End);
}

} // namespace marjoramrail
