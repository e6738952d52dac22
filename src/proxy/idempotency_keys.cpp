#include "proxy/proxy_state.h"

namespace marjoramrail {

void request_proxy::impl::startClaim(request_id Id, exchange &Exchange) {
  if (Exchange.Work.Key.empty() || Exchange.Claim != claim_state::None)
    return;
  if (!KeyViewKnown || Exchange.Work.Key.size() > MaxKeyBytes)
    return onClaim(Id, {Exchange.Work.Key, key_verdict::RecordsIncomplete, ""});
  Exchange.Claim = claim_state::Requested;
  Idempotency.claim(Exchange.Work.Key, Id);
}

void request_proxy::impl::onClaim(request_id Id, const key_result &Result) {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end())
    return;
  exchange &Exchange = Found->second;
  if (Result.Verdict == key_verdict::Run) {
    Exchange.Claim = claim_state::Granted;
    if (Exchange.Admitted)
      return run(Id, Exchange);
    return offer(Id);
  }
  Exchange.Claim = claim_state::None;
  if (Result.Verdict == key_verdict::RunningElsewhere && retryClaim(Id))
    return;
  ++Counts.ClaimsNotGranted;
  Work.cancelled(Id, Timers.now());
  answer(Id, keyAnswer(Result, Exchange.Work.Retry));
  decideQueued();
}

/// Retries the claim of a relayed request. The agent that relayed it may have
/// claimed the key before, and its message that releases the claim may not have
/// reached all replicas yet. Returns false if no retry is made.
bool request_proxy::impl::retryClaim(request_id Id) {
  constexpr int MaxRetries = 4;
  constexpr duration Pause = std::chrono::milliseconds(30);
  exchange &Exchange = Exchanges.at(Id);
  if (!Exchange.Work.RelayedBy || ++Exchange.ClaimRetries > MaxRetries)
    return false;
  Timers.after(Pause, [this, Id] {
    const auto Found = Exchanges.find(Id);
    if (Found != Exchanges.end() &&
        Found->second.State == exchange_state::Waiting)
      startClaim(Id, Found->second);
  });
  return true;
}

void request_proxy::impl::settle(request_id Id, exchange &Exchange,
                                 key_state State) {
  if (std::exchange(Exchange.Claim, claim_state::None) != claim_state::None)
    Idempotency.settle(Exchange.Work.Key, Id, State, Exchange.SavedAnswer);
}

void request_proxy::impl::sendKeyMessages(host_id Peer,
                                          const key_messages &Messages) {
  const auto Address = Hooks.RelayOf ? Hooks.RelayOf(Peer) : std::nullopt;
  if (!Address)
    return;
  const h2_head Head{{{":method", "POST"},
                      {":scheme", "http"},
                      {":authority", toText(*Address)},
                      {":path", std::string(KeysPath)}}};
  peerLink(Peer, *Address)
      .send(request_id{++LastKeyMessageId}, Head, encodeKeyMessages(Messages),
            true);
}

void request_proxy::impl::receiveKeyMessages(reply_address ReplyTo,
                                             std::string_view Bytes, bool End) {
  std::string &Batch = KeyBatches[ReplyTo];
  caller_flow &Flow = *Flows.at(ReplyTo.Flow);
  Flow.consumed(ReplyTo.Stream, Bytes.size());
  if (Batch.size() + Bytes.size() <= MaxKeyBatchBytes)
    Batch += Bytes;
  if (!End)
    return;
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_AUTO(Messages, decodeKeyMessages(Batch));
    for (const key_message &Message : Messages)
      if (Message.To == Settings.Host)
        Idempotency.receive(Message);
    return {};
  });
  if (Failure)
    ++Counts.BadKeyMessages;
  KeyBatches.erase(ReplyTo);
  Flow.respond(ReplyTo.Stream, {{{":status", Failure ? "400" : "204"}}}, true);
}

/// Handles a request whose flow was destroyed. A keyed request that is running
/// continues, so that the caller's retry on another flow gets the saved answer
/// instead of an unknown outcome. All other requests are cancelled.
void request_proxy::impl::detachOrCancel(reply_address ReplyTo) {
  const auto Found = ByReplyAddress.find(ReplyTo);
  exchange &Exchange = Exchanges.at(Found->second);
  const bool KeepRunning = Exchange.Claim == claim_state::Granted &&
                           Exchange.State == exchange_state::Running;
  if (!KeepRunning)
    return onCancel(ReplyTo);
  ByReplyAddress.erase(Found);
}

void request_proxy::impl::onFlowDestroyed(flow_number Destroyed) {
  Flows.erase(Destroyed);
  std::vector<reply_address> Addresses;
  for (auto It = ByReplyAddress.lower_bound({Destroyed, 0});
       It != ByReplyAddress.end() && It->first.Flow == Destroyed; ++It)
    Addresses.push_back(It->first);
  for (const reply_address ReplyTo : Addresses)
    detachOrCancel(ReplyTo);
  std::erase_if(KeyBatches,
                [&](const auto &Item) { return Item.first.Flow == Destroyed; });
}

} // namespace marjoramrail
