#include "marjoramrail/proxy.h"
#include "proxy/answers.h"
#include "proxy/exchange.h"
#include "proxy/key_codec.h"
#include "proxy/key_desk.h"
#include "proxy/request_head.h"

#include <algorithm>
#include <list>
#include <set>

namespace marjoramrail {

using namespace internal;

namespace {

/// Answer bytes in a caller's session before the target is held back.
constexpr std::size_t MaxAnswerQueued = 256 * 1024;
/// Between the two GOAWAYs: longer than a round trip, so that a request sent
/// before the first was seen is counted by the second.
constexpr duration ShutdownPause = std::chrono::seconds(1);
/// A target or peer that does not take connections is asked again after this.
constexpr duration UnreachableRetry = std::chrono::seconds(1);
/// Parts of SilentFlow between two looks at each flow.
constexpr int SilenceChecks = 3;
constexpr std::uint8_t NoMoreHops = 255;
/// Where peers post messages of key records.
constexpr std::string_view KeysPath = "/.marjoramrail/keys";
/// Longer keys are refused: records of them are held at two agents.
constexpr std::size_t LongestKey = 128;
/// A batch of records in a sync is far smaller.
constexpr std::size_t LongestKeyBatch = 1024 * 1024;
/// Ids of posted key messages, apart from those of requests.
constexpr std::uint64_t FirstPostId = 1ULL << 63;

} // namespace

struct request_proxy::impl {
  timer_service &Timers;
  proxy_settings Settings;
  proxy_hooks Hooks;
  relay_choice Peers;
  admission Work;
  proxy_counts Counts;
  std::uint64_t LastId = 0;
  std::uint64_t LastFlow = 0;
  std::map<flow_number, caller_flow *> Flows;
  std::map<request_id, exchange> Exchanges;
  std::map<answer_place, request_id> ByPlace;
  /// Requests of which bytes are held back in either direction.
  std::set<request_id> Held;
  key_desk Keys;
  bool KeysKnown = false;
  std::uint64_t LastPost = FirstPostId;
  /// Batches of key messages that are coming in.
  std::map<answer_place, std::string> KeyBatches;
  std::unique_ptr<client_link> Target;
  std::map<host_id, std::unique_ptr<client_link>> PeerLinks;
  /// Links that take no more requests; freed outside of their own events.
  std::list<std::unique_ptr<client_link>> Retired;
  std::vector<timer_id> Periodic;
  bool TickSet = false;
  bool Deciding = false;
  bool Draining = false;

  impl(timer_service &Timers, const proxy_settings &Settings,
       proxy_hooks Hooks);
  ~impl();

  // Callers' side.
  void onRequest(answer_place Place, const h2_head &Head, bool End);
  void onBody(answer_place Place, std::string_view Bytes, bool End);
  void onCancel(answer_place Place);
  void deadlinePassed(request_id Id);
  caller_flow *flowOf(const exchange &Exchange);

  // Decisions.
  void offer(request_id Id);
  void act(const decision &Decision);
  void decideQueued();
  void run(request_id Id, exchange &Exchange);
  void relay(request_id Id, exchange &Exchange, host_id Peer);
  void relayFailed(request_id Id, duration RetryAfter);

  // Answers.
  void answer(request_id Id, const own_answer &Answer);
  void give(exchange &Exchange, const own_answer &Answer);
  void outcomeUnknown(request_id Id, bool DeadlinePassed);
  void finish(request_id Id, work_outcome Outcome);
  void erase(request_id Id);

  // Links' side.
  // Key records.
  void startClaim(request_id Id, exchange &Exchange);
  void onClaim(request_id Id, const key_result &Result);
  void settle(request_id Id, exchange &Exchange, key_state State);
  void postKeys(host_id Peer, const key_messages &Messages);
  void takeKeys(answer_place Place, std::string_view Bytes, bool End);
  void leaveRunning(answer_place Place);
  void flowGone(flow_number Gone);

  client_link &targetLink();
  client_link &peerLink(host_id Peer, const endpoint &Address);
  std::unique_ptr<client_link> newLink(const endpoint &Address);
  void retire(std::unique_ptr<client_link> &Link);
  void onAnswerHead(request_id Id, const h2_head &Head, bool End);
  void onAnswerData(request_id Id, std::string_view Bytes, bool End);
  void countLate(request_id Id);
  void onNotRun(request_id Id);
  void answerOver(request_id Id);
  void holdBody(request_id Id, std::size_t Bytes);
  void releaseHeld();
  bool releaseHeld(request_id Id, exchange &Exchange);

  void checkSilence();
  void freeRetired();
};

request_proxy::impl::impl(timer_service &Timers, const proxy_settings &Settings,
                          proxy_hooks Hooks)
    : Timers(Timers), Settings(Settings), Hooks(std::move(Hooks)),
      Peers(Settings.Host, Settings.Relay, Settings.Seed),
      Work(
          Settings.Admission,
          [this](const work_request &Request, relay_reason Why,
                 const load_report &Own,
                 instant Now) { return Peers.pick(Request, Why, Own, Now); },
          Settings.Seed),
      Keys(Timers,
           {Settings.Host, Settings.Incarnation, Settings.FirstEver,
            Settings.Keys},
           {[this](host_id Peer, const key_messages &Messages) {
              postKeys(Peer, Messages);
            },
            [this](request_id Id, const key_result &Result) {
              onClaim(Id, Result);
            }}) {
  Periodic.push_back(Timers.every(Settings.SilentFlow / SilenceChecks,
                                  [this] { checkSilence(); }));
}

request_proxy::impl::~impl() {
  for (const timer_id Timer : Periodic)
    Timers.cancel(Timer);
  for (const auto &[Id, Exchange] : Exchanges)
    if (Exchange.Deadline)
      Timers.cancel(*Exchange.Deadline);
}

//===----------------------------------------------------------------------===//
// Callers' side
//===----------------------------------------------------------------------===//

caller_flow *request_proxy::impl::flowOf(const exchange &Exchange) {
  const auto Found = Flows.find(Exchange.Place.Flow);
  return Found == Flows.end() ? nullptr : Found->second;
}

void request_proxy::impl::onRequest(answer_place Place, const h2_head &Head,
                                    bool End) {
  const flow_origin &Origin = Flows.at(Place.Flow)->origin();
  if (Origin.IsPeer && Head.get(":path") == KeysPath)
    return takeKeys(Place, {}, End);
  // Trailers come as a second head of the same stream.
  if (ByPlace.contains(Place))
    return onBody(Place, {}, End);
  ++Counts.Requests;
  const request_id Id{++LastId};
  const instant Now = Timers.now();
  exchange &Exchange = Exchanges[Id];
  Exchange.Place = Place;
  Exchange.Head = Head;
  Exchange.BodyEnded = End;
  Exchange.Work = readWork(Head, Origin, Settings, Id, Now);
  ByPlace[Place] = Id;
  if (Exchange.Work.Deadline)
    Exchange.Deadline = Timers.after(*Exchange.Work.Deadline - Now,
                                     [this, Id] { deadlinePassed(Id); });
  if (Exchange.Work.RelayedBy)
    Peers.relayedHere(*Exchange.Work.RelayedBy, Now);
  // While draining all goes to peers, and whoever runs it makes the claim.
  if (Exchange.Work.Key.empty() || Draining)
    offer(Id);
  else
    startClaim(Id, Exchange);
}

//===----------------------------------------------------------------------===//
// Key records
//===----------------------------------------------------------------------===//

/// The claim comes before admission: it takes some round trips, for which a
/// slot of the target would stand idle.
void request_proxy::impl::startClaim(request_id Id, exchange &Exchange) {
  if (!KeysKnown || Exchange.Work.Key.size() > LongestKey)
    return onClaim(Id, {Exchange.Work.Key, key_verdict::NotSure, ""});
  Exchange.State = exchange_state::Claiming;
  Keys.claim(Exchange.Work.Key, Id);
}

void request_proxy::impl::onClaim(request_id Id, const key_result &Result) {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end())
    return;
  exchange &Exchange = Found->second;
  Exchange.State = exchange_state::Waiting;
  if (Result.Verdict == key_verdict::Run) {
    Exchange.Claimed = true;
    return offer(Id);
  }
  ++Counts.KeysHeld;
  answer(Id, keyAnswer(Result, Exchange.Work.Retry));
}

void request_proxy::impl::settle(request_id Id, exchange &Exchange,
                                 key_state State) {
  const bool Asked = Exchange.State == exchange_state::Claiming;
  if (Asked || std::exchange(Exchange.Claimed, false))
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
  const bool Leave =
      Exchange.Claimed && Exchange.State == exchange_state::Running;
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

void request_proxy::impl::onBody(answer_place Place, std::string_view Bytes,
                                 bool End) {
  if (KeyBatches.contains(Place))
    return takeKeys(Place, Bytes, End);
  const auto Found = ByPlace.find(Place);
  if (Found == ByPlace.end()) {
    // The request is over; its bytes still hold the connection's window.
    if (const auto Flow = Flows.find(Place.Flow); Flow != Flows.end())
      Flow->second->consumed(Place.Stream, Bytes.size());
    return;
  }
  exchange &Exchange = Exchanges.at(Found->second);
  Exchange.BodyEnded |= End;
  caller_flow &Flow = *flowOf(Exchange);
  if (!Exchange.Link) {
    Exchange.Body += Bytes;
    if (Exchange.Body.size() <= Settings.MaxBufferedBody)
      Flow.consumed(Place.Stream, Bytes.size());
    else
      holdBody(Found->second, Bytes.size());
    return;
  }
  if (Exchange.State == exchange_state::Relayed) {
    Exchange.BodyLost |=
        Exchange.Body.size() + Bytes.size() > Settings.MaxBufferedBody;
    if (!Exchange.BodyLost)
      Exchange.Body += Bytes;
  }
  Exchange.Link->data(Found->second, Bytes, End);
  holdBody(Found->second, Bytes.size());
  releaseHeld();
}

void request_proxy::impl::onCancel(answer_place Place) {
  const auto Found = ByPlace.find(Place);
  if (Found == ByPlace.end())
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
  outcomeUnknown(Id, true);
}

//===----------------------------------------------------------------------===//
// Decisions
//===----------------------------------------------------------------------===//

void request_proxy::impl::offer(request_id Id) {
  act(Work.offer(Exchanges.at(Id).Work, Timers.now()));
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
      act(Decision);
  Deciding = false;
  if (Work.waiting() == 0 || std::exchange(TickSet, true))
    return;
  Timers.after(admission::TickPeriod, [this] {
    TickSet = false;
    decideQueued();
  });
}

void request_proxy::impl::act(const decision &Decision) {
  const auto Found = Exchanges.find(Decision.Id);
  if (Found == Exchanges.end())
    return;
  switch (Decision.Verdict) {
  case verdict::Run:
    return run(Decision.Id, Found->second);
  case verdict::Wait:
    return;
  case verdict::Refuse:
    ++Counts.Refused;
    settle(Decision.Id, Found->second, key_state::Released);
    return answer(Decision.Id, notRun(Decision.Reason, Decision.RetryAfter));
  case verdict::Relay:
    return relay(Decision.Id, Found->second, Decision.Peer);
  }
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
  const auto Address = Hooks.RelayOf ? Hooks.RelayOf(Peer) : std::nullopt;
  // Whoever runs it makes the claim.
  settle(Id, Exchange, key_state::Released);
  Exchange.State = exchange_state::Relayed;
  Exchange.Peer = Peer;
  if (!Address)
    return relayFailed(Id, UnreachableRetry);
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
  Exchange.Work.Hops = NoMoreHops;
  if (Exchange.BodyLost) {
    ++Counts.Refused;
    return answer(Id, notRun("relay", RetryAfter));
  }
  Exchange.State = exchange_state::Waiting;
  if (Exchange.Work.Key.empty() || Draining)
    offer(Id);
  else
    startClaim(Id, Exchange);
}

//===----------------------------------------------------------------------===//
// Answers
//===----------------------------------------------------------------------===//

void request_proxy::impl::give(exchange &Exchange, const own_answer &Answer) {
  caller_flow *Flow = flowOf(Exchange);
  if (!Flow)
    return;
  if (Exchange.HeadSent) {
    Flow->reset(Exchange.Place.Stream, h2_error::InternalError);
  } else {
    Flow->respond(Exchange.Place.Stream, Answer.Head, false);
    Flow->data(Exchange.Place.Stream, Answer.Body, true);
  }
}

void request_proxy::impl::answer(request_id Id, const own_answer &Answer) {
  exchange &Exchange = Exchanges.at(Id);
  give(Exchange, Answer);
  caller_flow *Flow = flowOf(Exchange);
  erase(Id);
  if (Flow)
    Flow->flush();
}

void request_proxy::impl::outcomeUnknown(request_id Id, bool DeadlinePassed) {
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
  if (Found->second.Link && Found->second.AnswerHeld > 0)
    Found->second.Link->consumed(Id, Found->second.AnswerHeld);
  ByPlace.erase(Found->second.Place);
  Exchanges.erase(Found);
}

//===----------------------------------------------------------------------===//
// Links' side
//===----------------------------------------------------------------------===//

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
  Link.OnLost = [this](request_id Id) {
    if (Exchanges.contains(Id))
      outcomeUnknown(Id, false);
  };
  Link.OnInput = [this] { releaseHeld(); };
  Link.OnLateAnswer = [this] { ++Counts.LateAnswers; };
  return std::make_unique<client_link>(Address, Hooks.Connect, std::move(Link));
}

void request_proxy::impl::retire(std::unique_ptr<client_link> &Link) {
  if (!Link || !Link->isOver())
    return;
  Retired.push_back(std::move(Link));
  Timers.after(duration::zero(), [this] { freeRetired(); });
}

void request_proxy::impl::freeRetired() {
  Retired.remove_if([](const auto &Link) { return Link->isIdle(); });
  if (!Retired.empty())
    Timers.after(std::chrono::seconds(1), [this] { freeRetired(); });
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

/// Answers to posted key messages say nothing; they are no one's.
void request_proxy::impl::countLate(request_id Id) {
  if (static_cast<std::uint64_t>(Id) < FirstPostId)
    ++Counts.LateAnswers;
}

void request_proxy::impl::onAnswerHead(request_id Id, const h2_head &Head,
                                       bool End) {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end()) {
    countLate(Id);
    return;
  }
  exchange &Exchange = Found->second;
  if (Exchange.State == exchange_state::Relayed && saysNotRun(Head)) {
    Exchange.Link->cancel(Id);
    return relayFailed(Id, retryAfterOf(Head));
  }
  const bool Informational = Head.get(":status").starts_with("1");
  if (Exchange.HeadSent || Informational)
    return;
  Exchange.Shed = Head.get(":status") == "503";
  Exchange.ShedRetryAfter = retryAfterOf(Head);
  Exchange.HeadSent = true;
  if (Exchange.Claimed)
    Exchange.Kept = keptAnswer(std::string(Head.get(":status")), "");
  caller_flow *Flow = flowOf(Exchange);
  if (Flow)
    Flow->respond(Exchange.Place.Stream, Head, End);
  if (End)
    answerOver(Id);
  if (Flow)
    Flow->flush();
}

void request_proxy::impl::onAnswerData(request_id Id, std::string_view Bytes,
                                       bool End) {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end()) {
    countLate(Id);
    return;
  }
  exchange &Exchange = Found->second;
  if (Exchange.Claimed && Exchange.Kept.size() <= Settings.Keys.MaxOutcome)
    Exchange.Kept += Bytes;
  caller_flow *Flow = flowOf(Exchange);
  if (!Flow) {
    // The caller is gone; the outcome is kept for its repeat.
    Exchange.Link->consumed(Id, Bytes.size());
    if (End)
      answerOver(Id);
    return;
  }
  Flow->data(Exchange.Place.Stream, Bytes, End);
  Exchange.AnswerHeld += Bytes.size();
  // The flush of a whole answer closes the stream, which must not look like a
  // caller that gives up.
  if (End)
    answerOver(Id);
  Flow->flush();
  // The flush may have ended the flow, and the request with it.
  const auto Still = Exchanges.find(Id);
  if (Still == Exchanges.end())
    return;
  Held.insert(Id);
  releaseHeld();
}

void request_proxy::impl::answerOver(request_id Id) {
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
    return relayFailed(Id, UnreachableRetry);
  Exchange.ShedRetryAfter = UnreachableRetry;
  settle(Id, Exchange, key_state::Released);
  finish(Id, work_outcome::Shed);
  ++Counts.Refused;
  answer(Id, notRun("target", UnreachableRetry));
  decideQueued();
}

void request_proxy::impl::holdBody(request_id Id, std::size_t Bytes) {
  Exchanges.at(Id).BodyHeld += Bytes;
  Held.insert(Id);
}

/// Goes on with what was held back, once the other side has taken its part.
void request_proxy::impl::releaseHeld() {
  std::erase_if(Held, [this](request_id Id) {
    const auto Found = Exchanges.find(Id);
    return Found == Exchanges.end() || releaseHeld(Id, Found->second);
  });
}

/// Returns true if nothing is held any more.
bool request_proxy::impl::releaseHeld(request_id Id, exchange &Exchange) {
  caller_flow *Flow = flowOf(Exchange);
  if (!Flow || !Exchange.Link)
    return !Flow;
  if (Exchange.AnswerHeld > 0 &&
      Flow->queued(Exchange.Place.Stream) <= MaxAnswerQueued)
    Exchange.Link->consumed(Id,
                            std::exchange(Exchange.AnswerHeld, std::size_t(0)));
  if (Exchange.BodyHeld > 0 &&
      Exchange.Link->queued(Id) <= Settings.MaxBufferedBody)
    Flow->consumed(Exchange.Place.Stream,
                   std::exchange(Exchange.BodyHeld, std::size_t(0)));
  return Exchange.AnswerHeld == 0 && Exchange.BodyHeld == 0;
}

void request_proxy::impl::checkSilence() {
  std::vector<caller_flow *> All;
  for (const auto &[Number, Flow] : Flows)
    All.push_back(Flow);
  for (caller_flow *Flow : All)
    if (Flow->checkSilence(Timers.now(), Settings.SilentFlow))
      ++Counts.SilentFlows;
}

//===----------------------------------------------------------------------===//
// proxy_flow and request_proxy
//===----------------------------------------------------------------------===//

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
  caller_flow_hooks Inner;
  Inner.OnRequest = [&Self](answer_place Place, const h2_head &Head, bool End) {
    Self.onRequest(Place, Head, End);
  };
  Inner.OnBody = [&Self](answer_place Place, std::string_view Bytes, bool End) {
    Self.onBody(Place, Bytes, End);
  };
  Inner.OnCancel = [&Self](answer_place Place) { Self.onCancel(Place); };
  Inner.OnInput = [&Self] { Self.releaseHeld(); };
  Inner.OnDestroyed = [&Self](flow_number Gone) { Self.flowGone(Gone); };
  auto Flow = std::make_unique<caller_flow>(
      Number, Origin, std::move(Hooks), std::move(Inner), Self.Timers.now());
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
  Self.Timers.after(ShutdownPause, [&Self] {
    std::vector<caller_flow *> All;
    for (const auto &[Number, Flow] : Self.Flows)
      if (!Flow->origin().IsPeer)
        All.push_back(Flow);
    for (caller_flow *Flow : All)
      Flow->finishShutdown();
  });
  Self.decideQueued();
}

void request_proxy::takeKeyView(const key_view &View) {
  Impl->KeysKnown = true;
  Impl->Keys.takeView(View);
}

void request_proxy::lapsed(std::uint32_t Incarnation) {
  Impl->Keys.lapsed(Incarnation);
}

bool request_proxy::keysSettled() const {
  return Impl->KeysKnown && Impl->Keys.settled();
}

load_report request_proxy::load() {
  load_report Report = Impl->Work.load(Impl->Timers.now());
  Report.Host = Impl->Settings.Host;
  return Report;
}

void request_proxy::takePeerLoad(const load_report &Peer) {
  Impl->Peers.report(Peer, Impl->Timers.now());
}

void request_proxy::forgetPeer(host_id Peer) { Impl->Peers.forget(Peer); }

std::size_t request_proxy::inProgress() const { return Impl->Exchanges.size(); }

const proxy_counts &request_proxy::counts() const { return Impl->Counts; }

} // namespace marjoramrail
