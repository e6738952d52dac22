#include "proxy/proxy_state.h"

namespace marjoramrail {

/// A claim comes before admission: while a view changes it may take a second,
/// for which a slot would stand idle and other requests would be refused. While
/// draining all goes to peers, and whoever runs a request claims its key.
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

/// Acts on what the queue has come to; a decision may free a slot and so bring
/// about the next.
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
  // A claim that is refused at once has ended the request.
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
  // Whoever runs it makes the claim.
  if (Exchange.Claim != claim_state::None) {
    settle(Id, Exchange, key_state::Released);
    return relayOnceReleased(Id, Timers.now());
  }
  sendToPeer(Id, Exchange);
}

/// Two claims of one key at a time, the old one not given back everywhere yet,
/// could look to the keepers like two runs: the key would count as unknown for
/// good although nobody ran it.
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
  // The body is kept: after an explicit "not run" it is needed once more.
  Exchange.Link->send(
      Id,
      headForPeer(Exchange.Head, Exchange.Work, Settings.Host, Timers.now()),
      Exchange.Body, Exchange.BodyEnded);
}

/// The peer did not run the request: it is decided here once more, and not
/// relayed again, or it could wander between agents until its deadline.
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
