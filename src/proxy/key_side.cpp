#include "proxy/proxy_state.h"

namespace marjoramrail {

void request_proxy::impl::startClaim(request_id Id, exchange &Exchange) {
  if (Exchange.Work.Key.empty() || Exchange.Claim != claim_state::None)
    return;
  if (!KeysKnown || Exchange.Work.Key.size() > LongestKey)
    return onClaim(Id, {Exchange.Work.Key, key_verdict::RecordsIncomplete, ""});
  Exchange.Claim = claim_state::Asked;
  Keys.claim(Exchange.Work.Key, Id);
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
  if (Result.Verdict == key_verdict::RunningElsewhere && claimAgain(Id))
    return;
  ++Counts.KeysHeld;
  Work.cancelled(Id, Timers.now());
  answer(Id, keyAnswer(Result, Exchange.Work.Retry));
  decideQueued();
}

/// The agent that relayed a request had claimed its key before, and the word
/// that it gave the claim back may still be under way.
bool request_proxy::impl::claimAgain(request_id Id) {
  constexpr int Tries = 4;
  constexpr duration Pause = std::chrono::milliseconds(30);
  exchange &Exchange = Exchanges.at(Id);
  if (!Exchange.Work.RelayedBy || ++Exchange.ClaimTries > Tries)
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
    Keys.settle(Exchange.Work.Key, Id, State, Exchange.Kept);
}

void request_proxy::impl::postKeys(host_id Peer, const key_messages &Messages) {
  const auto Address = Hooks.RelayOf ? Hooks.RelayOf(Peer) : std::nullopt;
  if (!Address)
    return;
  const h2_head Head{{{":method", "POST"},
                      {":scheme", "http"},
                      {":authority", toText(*Address)},
                      {":path", std::string(KeysPath)}}};
  peerLink(Peer, *Address)
      .send(request_id{++LastPost}, Head, encodeKeyMessages(Messages), true);
}

void request_proxy::impl::takeKeys(answer_place Place, std::string_view Bytes,
                                   bool End) {
  std::string &Batch = KeyBatches[Place];
  caller_flow &Flow = *Flows.at(Place.Flow);
  Flow.consumed(Place.Stream, Bytes.size());
  if (Batch.size() + Bytes.size() <= LongestKeyBatch)
    Batch += Bytes;
  if (!End)
    return;
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_AUTO(Messages, decodeKeyMessages(Batch));
    for (const key_message &Message : Messages)
      if (Message.To == Settings.Host)
        Keys.receive(Message);
    return {};
  });
  if (Failure)
    ++Counts.BadKeyMessages;
  KeyBatches.erase(Place);
  Flow.respond(Place.Stream, {{{":status", Failure ? "400" : "204"}}}, true);
}

/// A keyed request goes on when its caller's flow is lost: the repeat that will
/// come by another flow then finds the outcome instead of "unknown".
void request_proxy::impl::leaveRunning(answer_place Place) {
  const auto Found = ByPlace.find(Place);
  exchange &Exchange = Exchanges.at(Found->second);
  const bool Leave = Exchange.Claim == claim_state::Granted &&
                     Exchange.State == exchange_state::Running;
  if (!Leave)
    return onCancel(Place);
  ByPlace.erase(Found);
}

void request_proxy::impl::flowGone(flow_number Gone) {
  Flows.erase(Gone);
  std::vector<answer_place> Places;
  for (auto It = ByPlace.lower_bound({Gone, 0});
       It != ByPlace.end() && It->first.Flow == Gone; ++It)
    Places.push_back(It->first);
  for (const answer_place Place : Places)
    leaveRunning(Place);
  std::erase_if(KeyBatches,
                [&](const auto &Item) { return Item.first.Flow == Gone; });
}

} // namespace marjoramrail
