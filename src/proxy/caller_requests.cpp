#include "proxy/proxy_state.h"

namespace marjoramrail {

caller_flow *request_proxy::impl::flowOf(const exchange &Exchange) {
  const auto Found = Flows.find(Exchange.ReplyTo.Flow);
  return Found == Flows.end() ? nullptr : Found->second;
}

void request_proxy::impl::onRequest(reply_address ReplyTo, const h2_head &Head,
                                    bool End) {
  const flow_origin &Origin = Flows.at(ReplyTo.Flow)->origin();
  if (Origin.IsPeer && Head.get(":path") == KeysPath)
    return receiveKeyMessages(ReplyTo, {}, End);
  // Trailers are reported as a second header of the same stream.
  if (ByReplyAddress.contains(ReplyTo))
    return onBody(ReplyTo, {}, End);
  ++Counts.Requests;
  const request_id Id{++LastId};
  const instant Now = Timers.now();
  exchange &Exchange = Exchanges[Id];
  Exchange.ReplyTo = ReplyTo;
  Exchange.Head = Head;
  Exchange.BodyEnded = End;
  Exchange.Work = readWork(Head, Origin, Settings, Id, Now);
  ByReplyAddress[ReplyTo] = Id;
  if (Exchange.Work.Deadline)
    Exchange.Deadline = Timers.after(*Exchange.Work.Deadline - Now,
                                     [this, Id] { deadlinePassed(Id); });
  if (Exchange.Work.RelayedBy)
    Peers.receivedRelayFrom(*Exchange.Work.RelayedBy, Now);
  startExchange(Id, Exchange);
}

void request_proxy::impl::onBody(reply_address ReplyTo, std::string_view Bytes,
                                 bool End) {
  if (KeyBatches.contains(ReplyTo))
    return receiveKeyMessages(ReplyTo, Bytes, End);
  const auto Found = ByReplyAddress.find(ReplyTo);
  if (Found == ByReplyAddress.end()) {
    // The request has ended, but its bytes still count against the window of
    // the connection.
    if (const auto Flow = Flows.find(ReplyTo.Flow); Flow != Flows.end())
      Flow->second->consumed(ReplyTo.Stream, Bytes.size());
    return;
  }
  exchange &Exchange = Exchanges.at(Found->second);
  Exchange.BodyEnded |= End;
  caller_flow &Flow = *flowOf(Exchange);
  if (!Exchange.Link) {
    Exchange.Body += Bytes;
    if (Exchange.Body.size() <= Settings.MaxBufferedBody)
      Flow.consumed(ReplyTo.Stream, Bytes.size());
    else
      addUnconsumedBody(Found->second, Bytes.size());
    return;
  }
  if (Exchange.State == exchange_state::Relayed) {
    Exchange.BodyTruncated |=
        Exchange.Body.size() + Bytes.size() > Settings.MaxBufferedBody;
    if (!Exchange.BodyTruncated)
      Exchange.Body += Bytes;
  }
  Exchange.Link->data(Found->second, Bytes, End);
  addUnconsumedBody(Found->second, Bytes.size());
  releaseFlowControl();
}

void request_proxy::impl::onCancel(reply_address ReplyTo) {
  const auto Found = ByReplyAddress.find(ReplyTo);
  if (Found == ByReplyAddress.end())
    return;
  const request_id Id = Found->second;
  exchange &Exchange = Exchanges.at(Id);
  ++Counts.Cancelled;
  if (Exchange.Link)
    Exchange.Link->cancel(Id);
  const bool MayHaveRun = Exchange.State == exchange_state::Running;
  settle(Id, Exchange, MayHaveRun ? key_state::Unknown : key_state::Released);
  if (Exchange.State != exchange_state::Relayed)
    Work.cancelled(Id, Timers.now());
  erase(Id);
  decideQueued();
}

void request_proxy::impl::deadlinePassed(request_id Id) {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end())
    return;
  exchange &Exchange = Found->second;
  Exchange.Deadline.reset();
  const bool Begun = Exchange.State == exchange_state::Running ||
                     Exchange.State == exchange_state::Relayed;
  if (!Begun) {
    settle(Id, Exchange, key_state::Released);
    Work.cancelled(Id, Timers.now());
    ++Counts.Refused;
    answer(Id, notRun(refusal::DeadlineTooClose, duration::zero()));
    return decideQueued();
  }
  if (Exchange.Link)
    Exchange.Link->cancel(Id);
  answerUnknownOutcome(Id, true);
}

} // namespace marjoramrail
