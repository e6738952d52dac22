#include "proxy/proxy_state.h"

namespace marjoramrail {

/// Claims the key before admission. During a view change a claim can take a
/// second, in which an admitted request would occupy an unused slot and cause
/// other requests to be refused. While draining, no claim is made here, because
/// all requests are relayed and the agent that runs a request claims its key.
void request_proxy::impl::startExchange(request_id Id, exchange &Exchange) {
  if (Exchange.Work.Key.empty() || Draining)
    offer(Id);
  else
    startClaim(Id, Exchange);
}

void request_proxy::impl::offer(request_id Id) {
  applyDecision(Work.offer(Exchanges.at(Id).Work, Timers.now()));
  decideQueued();
}

/// Applies the pending decisions on queued requests until there are no more,
/// because a decision may free a slot and thereby cause another one.
void request_proxy::impl::decideQueued() {
  if (std::exchange(Deciding, true))
    return;
  for (auto Next = Work.tick(Timers.now()); !Next.empty();
       Next = Work.tick(Timers.now()))
    for (const decision &Decision : Next)
      applyDecision(Decision);
  Deciding = false;
  if (Work.waiting() == 0 || std::exchange(TickSet, true))
    return;
  Timers.after(admission::TickPeriod, [this] {
    TickSet = false;
    decideQueued();
  });
}

void request_proxy::impl::applyDecision(const decision &Decision) {
  const auto Found = Exchanges.find(Decision.Id);
  if (Found == Exchanges.end())
    return;
  switch (Decision.Verdict) {
  case verdict::Run:
    Found->second.Admitted = true;
    startClaim(Decision.Id, Found->second);
    return runIfClaimed(Decision.Id);
  case verdict::Wait:
    return startClaim(Decision.Id, Found->second);
  case verdict::Refuse:
    ++Counts.Refused;
    settle(Decision.Id, Found->second, key_state::Released);
    return answer(Decision.Id, notRun(Decision.Reason, Decision.RetryAfter));
  case verdict::Relay:
    return relay(Decision.Id, Found->second, Decision.Peer);
  }
}

void request_proxy::impl::runIfClaimed(request_id Id) {
  // If the claim was refused immediately, the request has ended.
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end())
    return;
  const bool Claimed = Found->second.Work.Key.empty() ||
                       Found->second.Claim == claim_state::Granted;
  if (Claimed)
    run(Id, Found->second);
}

void request_proxy::impl::run(request_id Id, exchange &Exchange) {
  Exchange.State = exchange_state::Running;
  Exchange.Began = Timers.now();
  Exchange.Link = &targetLink();
  Exchange.Link->send(Id,
                      headForTarget(Exchange.Head, Exchange.Work, Timers.now()),
                      Exchange.Body, Exchange.BodyEnded);
}

void request_proxy::impl::relay(request_id Id, exchange &Exchange,
                                host_id Peer) {
  Exchange.Peer = Peer;
  // The agent that runs the request makes the claim.
  if (Exchange.Claim != claim_state::None) {
    settle(Id, Exchange, key_state::Released);
    return relayOnceReleased(Id, Timers.now());
  }
  sendToPeer(Id, Exchange);
}

/// Relays the request once all replicas have released this agent's claim. If
/// the peer claimed the key earlier, the replicas could take the two claims for
/// two runs, and the key's outcome would be unknown forever although nobody ran
/// the request.
void request_proxy::impl::relayOnceReleased(request_id Id, instant Since) {
  constexpr duration MaxWait = std::chrono::milliseconds(500);
  constexpr duration Pause = std::chrono::milliseconds(5);
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end())
    return;
  exchange &Exchange = Found->second;
  if (Idempotency.ended(Exchange.Work.Key))
    return sendToPeer(Id, Exchange);
  if (Timers.now() - Since >= MaxWait) {
    ++Counts.Refused;
    return answer(Id, notRun("key_record", UnreachableRetryDelay));
  }
  Timers.after(Pause, [this, Id, Since] { relayOnceReleased(Id, Since); });
}

void request_proxy::impl::sendToPeer(request_id Id, exchange &Exchange) {
  const host_id Peer = *Exchange.Peer;
  const auto Address = Hooks.RelayOf ? Hooks.RelayOf(Peer) : std::nullopt;
  Exchange.State = exchange_state::Relayed;
  if (!Address)
    return relayFailed(Id, UnreachableRetryDelay);
  ++Counts.Relayed;
  Exchange.Link = &peerLink(Peer, *Address);
  // The body stays buffered: it is needed again if the peer reports that it did
  // not run the request.
  Exchange.Link->send(
      Id,
      headForPeer(Exchange.Head, Exchange.Work, Settings.Host, Timers.now()),
      Exchange.Body, Exchange.BodyEnded);
}

/// Handles a request that the peer did not run: admission decides on it again,
/// but it is not relayed again. Otherwise it could be relayed between agents
/// until its deadline.
void request_proxy::impl::relayFailed(request_id Id, duration RetryAfter) {
  exchange &Exchange = Exchanges.at(Id);
  Peers.notRun(*Exchange.Peer, RetryAfter, Timers.now());
  Exchange.Link = nullptr;
  Exchange.Work.Hops = RelayForbiddenHops;
  if (Exchange.BodyTruncated) {
    ++Counts.Refused;
    return answer(Id, notRun("relay", RetryAfter));
  }
  Exchange.State = exchange_state::Waiting;
  startExchange(Id, Exchange);
}

} // namespace marjoramrail
