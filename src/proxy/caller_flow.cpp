#include "proxy/caller_flow.h"

namespace marjoramrail::internal {

static h2_settings callerSettings() {
  h2_settings Settings;
  // The window is extended only as fast as the target accepts the bodies.
  Settings.ConsumeAtOnce = false;
  return Settings;
}

caller_flow::caller_flow(flow_number Number, const flow_origin &Origin,
                         proxy_flow::hooks FlowHooks,
                         caller_flow_hooks ProxyHooks, instant Now)
    : Number(Number), Origin(Origin), FlowHooks(std::move(FlowHooks)),
      ProxyHooks(std::move(ProxyHooks)),
      Session(h2_role::Server, callerSettings(), sessionHooks()),
      LastReceived(Now) {
  Session.flush();
}

caller_flow::~caller_flow() { ProxyHooks.OnDestroyed(Number); }

h2_hooks caller_flow::sessionHooks() {
  h2_hooks Hooks;
  Hooks.Output = [this](std::string_view Bytes) { FlowHooks.Output(Bytes); };
  Hooks.OnHead = [this](h2_stream Id, const h2_head &Head, bool End) {
    ProxyHooks.OnRequest({Number, Id}, Head, End);
  };
  Hooks.OnData = [this](h2_stream Id, std::string_view Bytes, bool End) {
    ProxyHooks.OnBody({Number, Id}, Bytes, End);
  };
  Hooks.OnClose = [this](h2_stream Id, h2_error) {
    ProxyHooks.OnCancel({Number, Id});
  };
  return Hooks;
}

void caller_flow::input(std::string_view Bytes) {
  if (FlowEnded)
    return;
  ReceivedSinceCheck = true;
  if (!Session.input(Bytes))
    return endFlow(proxy_flow_end::BrokenProtocol);
  ProxyHooks.OnInput();
  endIfDone();
}

void caller_flow::respond(h2_stream Stream, const h2_head &Head, bool End) {
  Session.respond(Stream, Head, End);
}

void caller_flow::data(h2_stream Stream, std::string_view Bytes, bool End) {
  Session.data(Stream, Bytes, End);
}

void caller_flow::reset(h2_stream Stream, h2_error Code) {
  Session.reset(Stream, Code);
}

void caller_flow::consumed(h2_stream Stream, std::size_t Bytes) {
  Session.consumed(Stream, Bytes);
}

void caller_flow::flush() {
  if (FlowEnded)
    return;
  Session.flush();
  endIfDone();
}

void caller_flow::startShutdown() {
  Session.startShutdown();
  Session.flush();
}

void caller_flow::finishShutdown() {
  ShuttingDown = true;
  Session.finishShutdown();
  flush();
}

bool caller_flow::checkLiveness(instant Now, duration Bound) {
  if (FlowEnded)
    return false;
  if (std::exchange(ReceivedSinceCheck, false)) {
    LastReceived = Now;
    return false;
  }
  if (Now - LastReceived >= Bound) {
    endFlow(proxy_flow_end::Unresponsive);
    return true;
  }
  Session.ping();
  Session.flush();
  return false;
}

void caller_flow::endIfDone() {
  if (!Session.alive() || (ShuttingDown && Session.openStreams() == 0))
    endFlow(proxy_flow_end::Finished);
}

void caller_flow::endFlow(proxy_flow_end Why) {
  if (!std::exchange(FlowEnded, true))
    FlowHooks.OnEnded(Why);
}

} // namespace marjoramrail::internal
