#include "proxy/proxy_state.h"

namespace marjoramrail {

void request_proxy::impl::sendAgentAnswer(exchange &Exchange,
                                          const agent_answer &Answer) {
  caller_flow *Flow = flowOf(Exchange);
  if (!Flow)
    return;
  if (Exchange.HeadSent) {
    Flow->reset(Exchange.ReplyTo.Stream, h2_error::InternalError);
  } else {
    Flow->respond(Exchange.ReplyTo.Stream, Answer.Head, false);
    Flow->data(Exchange.ReplyTo.Stream, Answer.Body, true);
  }
}

void request_proxy::impl::answer(request_id Id, const agent_answer &Answer) {
  exchange &Exchange = Exchanges.at(Id);
  sendAgentAnswer(Exchange, Answer);
  caller_flow *Flow = flowOf(Exchange);
  erase(Id);
  if (Flow)
    Flow->flush();
}

void request_proxy::impl::answerUnknownOutcome(request_id Id,
                                               bool DeadlinePassed) {
  const bool Ran = Exchanges.at(Id).State == exchange_state::Running;
  settle(Id, Exchanges.at(Id), key_state::Unknown);
  const duration Elapsed = Timers.now() - Exchanges.at(Id).Began;
  ++Counts.Unknown;
  answer(Id, unknownOutcome(DeadlinePassed));
  if (Ran)
    Work.finished(Id, {Elapsed, work_outcome::Lost, duration::zero()},
                  Timers.now());
  decideQueued();
}

void request_proxy::impl::finish(request_id Id, work_outcome Outcome) {
  const exchange &Exchange = Exchanges.at(Id);
  if (Exchange.State != exchange_state::Running)
    return;
  Work.finished(
      Id, {Timers.now() - Exchange.Began, Outcome, Exchange.ShedRetryAfter},
      Timers.now());
}

void request_proxy::impl::erase(request_id Id) {
  const auto Found = Exchanges.find(Id);
  if (Found->second.Deadline)
    Timers.cancel(*Found->second.Deadline);
  if (Found->second.Link && Found->second.UnconsumedAnswer > 0)
    Found->second.Link->consumed(Id, Found->second.UnconsumedAnswer);
  ByReplyAddress.erase(Found->second.ReplyTo);
  Exchanges.erase(Found);
}

} // namespace marjoramrail
