#include "proxy/answers.h"
#include "proxy/proxy_state.h"

namespace marjoramrail {

std::unique_ptr<client_link>
request_proxy::impl::newLink(const endpoint &Address) {
  link_hooks Link;
  Link.OnHead = [this](request_id Id, const h2_head &Head, bool End) {
    onAnswerHead(Id, Head, End);
  };
  Link.OnData = [this](request_id Id, std::string_view Bytes, bool End) {
    onAnswerData(Id, Bytes, End);
  };
  Link.OnNotRun = [this](request_id Id) { onNotRun(Id); };
  Link.OnOutcomeUnknown = [this](request_id Id) {
    if (Exchanges.contains(Id))
      answerUnknownOutcome(Id, false);
  };
  Link.OnInput = [this] { releaseFlowControl(); };
  Link.OnLateAnswer = [this] { ++Counts.LateAnswers; };
  return std::make_unique<client_link>(Address, Hooks.Connect, std::move(Link));
}

void request_proxy::impl::retire(std::unique_ptr<client_link> &Link) {
  if (!Link || !Link->isClosing())
    return;
  Retired.push_back(std::move(Link));
  Timers.after(duration::zero(), [this] { destroyIdleRetired(); });
}

void request_proxy::impl::destroyIdleRetired() {
  Retired.remove_if([](const auto &Link) { return Link->isIdle(); });
  if (!Retired.empty())
    Timers.after(std::chrono::seconds(1), [this] { destroyIdleRetired(); });
}

client_link &request_proxy::impl::targetLink() {
  retire(Target);
  if (!Target)
    Target = newLink(Settings.Target);
  return *Target;
}

client_link &request_proxy::impl::peerLink(host_id Peer,
                                           const endpoint &Address) {
  auto &Link = PeerLinks[Peer];
  retire(Link);
  if (!Link)
    Link = newLink(Address);
  return *Link;
}

/// Counts an answer that no request waits for. Answers to key messages have no
/// content and are not counted.
void request_proxy::impl::countLateAnswer(request_id Id) {
  if (static_cast<std::uint64_t>(Id) < FirstKeyMessageId)
    ++Counts.LateAnswers;
}

void request_proxy::impl::onAnswerHead(request_id Id, const h2_head &Head,
                                       bool End) {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end()) {
    countLateAnswer(Id);
    return;
  }
  exchange &Exchange = Found->second;
  if (Exchange.State == exchange_state::Relayed && isNotRun(Head)) {
    Exchange.Link->cancel(Id);
    return relayFailed(Id, retryAfterOf(Head));
  }
  const bool Informational = Head.get(":status").starts_with("1");
  if (Exchange.HeadSent || Informational)
    return;
  Exchange.Shed = Head.get(":status") == "503";
  Exchange.ShedRetryAfter = retryAfterOf(Head);
  Exchange.HeadSent = true;
  if (Exchange.Claim == claim_state::Granted)
    Exchange.SavedAnswer =
        encodeSavedAnswer(std::string(Head.get(":status")), "");
  caller_flow *Flow = flowOf(Exchange);
  if (Flow)
    Flow->respond(Exchange.ReplyTo.Stream,
                  Settings.Name.empty() ? Head : withVia(Settings.Name, Head),
                  End);
  if (End)
    onAnswerComplete(Id);
  if (Flow)
    Flow->flush();
}

void request_proxy::impl::onAnswerData(request_id Id, std::string_view Bytes,
                                       bool End) {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end()) {
    countLateAnswer(Id);
    return;
  }
  exchange &Exchange = Found->second;
  if (Exchange.Claim == claim_state::Granted &&
      Exchange.SavedAnswer.size() <= Settings.Keys.MaxOutcome)
    Exchange.SavedAnswer += Bytes;
  caller_flow *Flow = flowOf(Exchange);
  if (!Flow) {
    // The caller's flow has ended. The answer is saved for its retry.
    Exchange.Link->consumed(Id, Bytes.size());
    if (End)
      onAnswerComplete(Id);
    return;
  }
  Flow->data(Exchange.ReplyTo.Stream, Bytes, End);
  Exchange.UnconsumedAnswer += Bytes.size();
  // Flushing a complete answer closes the stream. The request must end before,
  // or the closed stream would be taken for a cancellation by the caller.
  if (End)
    onAnswerComplete(Id);
  Flow->flush();
  // The flush may have ended the flow and, with it, the request.
  const auto Still = Exchanges.find(Id);
  if (Still == Exchanges.end())
    return;
  FlowControlled.insert(Id);
  releaseFlowControl();
}

void request_proxy::impl::onAnswerComplete(request_id Id) {
  ++Counts.Answered;
  const bool Shed = Exchanges.at(Id).Shed;
  settle(Id, Exchanges.at(Id), Shed ? key_state::Released : key_state::Done);
  finish(Id, Shed ? work_outcome::Shed : work_outcome::Answered);
  erase(Id);
  decideQueued();
}

void request_proxy::impl::onNotRun(request_id Id) {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end())
    return;
  exchange &Exchange = Found->second;
  if (Exchange.State == exchange_state::Relayed)
    return relayFailed(Id, UnreachableRetryDelay);
  Exchange.ShedRetryAfter = UnreachableRetryDelay;
  settle(Id, Exchange, key_state::Released);
  finish(Id, work_outcome::Shed);
  ++Counts.Refused;
  answer(Id, notRun("target", UnreachableRetryDelay));
  decideQueued();
}

void request_proxy::impl::addUnconsumedBody(request_id Id, std::size_t Bytes) {
  Exchanges.at(Id).UnconsumedBody += Bytes;
  FlowControlled.insert(Id);
}

/// Extends the flow-control windows of the requests whose unconsumed bytes the
/// other side has accepted.
void request_proxy::impl::releaseFlowControl() {
  std::erase_if(FlowControlled, [this](request_id Id) {
    const auto Found = Exchanges.find(Id);
    return Found == Exchanges.end() || releaseFlowControl(Id, Found->second);
  });
}

/// Returns true if the request has no unconsumed bytes left.
bool request_proxy::impl::releaseFlowControl(request_id Id,
                                             exchange &Exchange) {
  caller_flow *Flow = flowOf(Exchange);
  if (!Flow || !Exchange.Link)
    return !Flow;
  if (Exchange.UnconsumedAnswer > 0 &&
      Flow->queued(Exchange.ReplyTo.Stream) <= MaxQueuedAnswerBytes)
    Exchange.Link->consumed(
        Id, std::exchange(Exchange.UnconsumedAnswer, std::size_t(0)));
  if (Exchange.UnconsumedBody > 0 &&
      Exchange.Link->queued(Id) <= Settings.MaxBufferedBody)
    Flow->consumed(Exchange.ReplyTo.Stream,
                   std::exchange(Exchange.UnconsumedBody, std::size_t(0)));
  return Exchange.UnconsumedAnswer == 0 && Exchange.UnconsumedBody == 0;
}

void request_proxy::impl::checkLiveness() {
  std::vector<caller_flow *> All;
  for (const auto &[Number, Flow] : Flows)
    All.push_back(Flow);
  for (caller_flow *Flow : All)
    if (Flow->checkLiveness(Timers.now(), Settings.IdleTimeout))
      ++Counts.UnresponsiveFlows;
}

} // namespace marjoramrail
