#include "proxy/proxy_state.h"

namespace marjoramrail {

request_proxy::impl::impl(timer_service &Timers, const proxy_settings &Settings,
                          proxy_hooks Hooks)
    : Timers(Timers), Settings(Settings), Hooks(std::move(Hooks)),
      Peers(Settings.Host, Settings.Relay, Settings.Seed),
      Work(
          Settings.Admission,
          [this](const work_request &Request, relay_reason Why,
                 const agent_load &Own,
                 instant Now) { return Peers.pick(Request, Why, Own, Now); },
          Settings.Seed),
      Idempotency(Timers,
                  {Settings.Host, Settings.Incarnation, Settings.History,
                   Settings.Keys},
                  {[this](host_id Peer, const key_messages &Messages) {
                     sendKeyMessages(Peer, Messages);
                   },
                   [this](request_id Id, const key_result &Result) {
                     onClaim(Id, Result);
                   }}) {
  Periodic.push_back(
      Timers.every(Settings.IdleTimeout / LivenessChecksPerTimeout,
                   [this] { checkLiveness(); }));
}

request_proxy::impl::~impl() {
  for (const timer_id Timer : Periodic)
    Timers.cancel(Timer);
  for (const auto &[Id, Exchange] : Exchanges)
    if (Exchange.Deadline)
      Timers.cancel(*Exchange.Deadline);
}

proxy_flow::proxy_flow(std::unique_ptr<caller_flow> Impl)
    : Impl(std::move(Impl)) {}

proxy_flow::~proxy_flow() = default;

void proxy_flow::input(std::string_view Bytes) { Impl->input(Bytes); }

std::size_t proxy_flow::openRequests() const { return Impl->openRequests(); }

request_proxy::request_proxy(timer_service &Timers,
                             const proxy_settings &Settings, proxy_hooks Hooks)
    : Impl(std::make_unique<impl>(Timers, Settings, std::move(Hooks))) {}

request_proxy::~request_proxy() = default;

std::unique_ptr<proxy_flow> request_proxy::open(const flow_origin &Origin,
                                                proxy_flow::hooks Hooks) {
  impl &Self = *Impl;
  const flow_number Number{++Self.LastFlow};
  caller_flow_hooks ProxyHooks;
  ProxyHooks.OnRequest = [&Self](reply_address ReplyTo, const h2_head &Head,
                                 bool End) {
    Self.onRequest(ReplyTo, Head, End);
  };
  ProxyHooks.OnBody = [&Self](reply_address ReplyTo, std::string_view Bytes,
                              bool End) { Self.onBody(ReplyTo, Bytes, End); };
  ProxyHooks.OnCancel = [&Self](reply_address ReplyTo) {
    Self.onCancel(ReplyTo);
  };
  ProxyHooks.OnInput = [&Self] { Self.releaseFlowControl(); };
  ProxyHooks.OnDestroyed = [&Self](flow_number Destroyed) {
    Self.onFlowDestroyed(Destroyed);
  };
  auto Flow =
      std::make_unique<caller_flow>(Number, Origin, std::move(Hooks),
                                    std::move(ProxyHooks), Self.Timers.now());
  Self.Flows[Number] = Flow.get();
  if (Self.Draining)
    Flow->startShutdown();
  return std::make_unique<proxy_flow>(std::move(Flow));
}

void request_proxy::drain() {
  impl &Self = *Impl;
  Self.Draining = true;
  Self.Work.drain(Self.Timers.now());
  for (const auto &[Number, Flow] : Self.Flows)
    if (!Flow->origin().IsPeer)
      Flow->startShutdown();
  Self.Timers.after(GoAwayDelay, [&Self] {
    if (!Self.Draining)
      return;
    std::vector<caller_flow *> All;
    for (const auto &[Number, Flow] : Self.Flows)
      if (!Flow->origin().IsPeer)
        All.push_back(Flow);
    for (caller_flow *Flow : All)
      Flow->finishShutdown();
  });
  Self.decideQueued();
}

void request_proxy::resume() {
  Impl->Draining = false;
  Impl->Work.resume();
  Impl->decideQueued();
}

void request_proxy::setKeyView(const key_view &View) {
  Impl->KeyViewKnown = true;
  Impl->Idempotency.setView(View);
}

void request_proxy::continueAs(std::uint32_t Incarnation) {
  Impl->Idempotency.continueAs(Incarnation);
}

bool request_proxy::keysSettled() const {
  return Impl->KeyViewKnown && Impl->Idempotency.settled();
}

std::size_t request_proxy::keyRecords() const {
  return Impl->Idempotency.records();
}

agent_load request_proxy::load() {
  agent_load Report = Impl->Work.load(Impl->Timers.now());
  Report.Host = Impl->Settings.Host;
  return Report;
}

void request_proxy::updatePeerLoad(const agent_load &Peer) {
  Impl->Peers.report(Peer, Impl->Timers.now());
}

void request_proxy::removePeer(host_id Peer) { Impl->Peers.forget(Peer); }

std::size_t request_proxy::inProgress() const { return Impl->Exchanges.size(); }

const proxy_counts &request_proxy::counts() const { return Impl->Counts; }

} // namespace marjoramrail
