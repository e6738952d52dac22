#include "platform/http_lane.h"
#include "platform/object_codec.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>

namespace marjoramrail {

using namespace internal;
using call_ptr = std::shared_ptr<call>;

static constexpr const char *ClosedReason = "the client was closed";

static platform_reply refusal(const std::string &Reason) {
  platform_reply Reply;
  Reply.Outcome = platform_outcome::Invalid;
  Reply.Reason = Reason;
  return Reply;
}

struct platform_client::impl {
  impl(event_loop &Loop, platform_client_settings Settings)
      : Loop(Loop), Settings(std::move(Settings)) {}

  std::function<void(call)> starter();
  void finishAll();

  event_loop &Loop;
  platform_client_settings Settings;
  std::uint64_t Calls = 0;

private:
  /// A connection and the call on it. A spent one goes at the next pump, since
  /// a connection must not be freed from within its own callback.
  struct lane {
    std::unique_ptr<http_lane> Http;
    call_ptr Call;
    bool Spent = false;
  };

  /// Of the calls for one object or kind before the first answer, each so many
  /// waits for long.
  static constexpr unsigned PatientCalls = 4;
  /// A server that sends a byte now and then must not hold a call for ever.
  static constexpr duration LongestAnswer = std::chrono::seconds(30);

  void start(call Call);
  duration timeoutOf(const call &Call);
  void pump();
  void schedulePump();
  lane *laneFor(const call &Call);
  void carry(lane &Lane, const call_ptr &Call);
  void onDone(lane &Lane, std::optional<http_answer> Answer, call_loss Loss);
  void onPart(const call_ptr &Call);
  void armTimer(const call_ptr &Call, duration Limit);
  void onTimeout(const call_ptr &Call);
  platform_reply decode(const call &Call, const http_answer &Answer);
  void take(const call_ptr &Call, platform_reply Reply);
  void tellEnd(const call &Call, const platform_reply &Reply);
  void finish(const call_ptr &Call, platform_reply Reply);
  void deliver(const call_ptr &Call);

  /// Calls that wait for a connection.
  std::deque<call_ptr> Waiting;
  std::vector<std::unique_ptr<lane>> Lanes;
  /// Calls that are over and whose callback has not run yet.
  std::map<call_ptr, platform_reply> Finished;
  /// The server that new connections go to.
  std::size_t Current = 0;
  std::uint64_t Sequence = 0;
  bool HasAnswered = false;
  /// Calls before the first answer, by what they read.
  std::map<object_key, unsigned> FirstCalls;
  bool PumpScheduled = false;
  bool Closing = false;
  /// Deferred tasks look here whether the client is still there.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

void platform_client::impl::start(call Call) {
  ++Calls;
  if (Call.changes()) {
    if (Call.Writer.empty())
      Call.Writer = Settings.Writer;
    if (Call.WriterSequence == 0)
      Call.WriterSequence = ++Sequence;
  }
  auto Shared = std::make_shared<call>(std::move(Call));
  Shared->StartedAt = Loop.timers().now();
  armTimer(Shared, timeoutOf(*Shared));
  if (const std::string Fault = faultOf(*Shared); !Fault.empty())
    return finish(Shared, refusal(Fault));
  if (Settings.Servers.empty())
    return finish(Shared, replyToLoss(*Shared, call_loss::NotSent,
                                      "no server of the platform is set"));
  if (Waiting.size() >= Settings.MaxWaiting)
    return finish(Shared, replyToLoss(*Shared, call_loss::NotSent,
                                      "too many calls wait already"));
  Waiting.push_back(Shared);
  schedulePump();
}

duration platform_client::impl::timeoutOf(const call &Call) {
  const bool IsRead =
      Call.Verb == call_verb::Read || Call.Verb == call_verb::List;
  if (HasAnswered || !IsRead || Settings.FirstTimeout == duration::zero())
    return Call.Wait + Settings.Timeout;
  const bool IsPatient = ++FirstCalls[Call.Key] % PatientCalls == 0;
  return IsPatient ? Settings.Timeout : Settings.FirstTimeout;
}

void platform_client::impl::schedulePump() {
  if (std::exchange(PumpScheduled, true))
    return;
  Loop.defer([this, Alive = std::weak_ptr<bool>(Alive)] {
    if (Alive.expired())
      return;
    PumpScheduled = false;
    pump();
  });
}

/// Gives waiting calls to free connections, in their order; a watch does not
/// wait behind calls nor hold them up.
void platform_client::impl::pump() {
  std::erase_if(Lanes, [&](const std::unique_ptr<lane> &Lane) {
    return Lane->Spent || (!Lane->Call && Lane->Http->server() != Current);
  });
  // A connection may fail at once and put its call back into Waiting.
  std::deque<call_ptr> Left;
  for (const call_ptr &Call : std::exchange(Waiting, {})) {
    if (lane *Lane = laneFor(*Call))
      carry(*Lane, Call);
    else
      Left.push_back(Call);
  }
  Waiting.insert(Waiting.end(), Left.begin(), Left.end());
}

platform_client::impl::lane *platform_client::impl::laneFor(const call &Call) {
  const bool IsWatch = Call.Verb == call_verb::Watch;
  std::size_t InUse = 0;
  for (const auto &Lane : Lanes) {
    if (!Lane->Call && !Lane->Spent)
      return Lane.get();
    InUse += Lane->Call && Lane->Call->Verb != call_verb::Watch;
  }
  if (!IsWatch && InUse >= Settings.MaxConnections)
    return nullptr;
  auto Lane = std::make_unique<lane>();
  Lane->Http =
      std::make_unique<http_lane>(Loop, Current, Settings.Servers[Current]);
  Lanes.push_back(std::move(Lane));
  return Lanes.back().get();
}

void platform_client::impl::carry(lane &Lane, const call_ptr &Call) {
  Lane.Call = Call;
  Call->Server = Lane.Http->address();
  Lane.Http->carry(
      Settings.Dialect.Request(*Call), [this, Call] { onPart(Call); },
      [this, &Lane](std::optional<http_answer> Answer, call_loss Loss) {
        onDone(Lane, std::move(Answer), Loss);
      });
}

/// A narrow link, or a VM that is short of processor time, takes longer over a
/// large answer than a call may wait in silence. Ended and made anew, the call
/// would start from the answer's first byte each time, fill the link and never
/// get through, as the log shows by calls that failed with most of their bytes
/// come. So the limit counts from the last part that came.
void platform_client::impl::onPart(const call_ptr &Call) {
  Loop.wake();
  const duration Left =
      Call->StartedAt + Call->Wait + LongestAnswer - Loop.timers().now();
  Loop.timers().cancel(Call->Timer);
  armTimer(Call, std::min(Settings.Timeout, Left));
}

void platform_client::impl::armTimer(const call_ptr &Call, duration Limit) {
  Call->Timer = Loop.timers().after(Limit, [this, Call] { onTimeout(Call); });
}

void platform_client::impl::onDone(lane &Lane,
                                   std::optional<http_answer> Answer,
                                   call_loss Loss) {
  const call_ptr Call = std::exchange(Lane.Call, nullptr);
  const std::size_t Server = Lane.Http->server();
  schedulePump();
  HasAnswered |= Answer.has_value();
  if (HasAnswered)
    FirstCalls.clear();
  if (Answer) {
    Call->Bytes += Answer->Body.size();
    return take(Call, decode(*Call, *Answer));
  }
  Lane.Spent = true;
  const std::string Where = toText(Settings.Servers[Server]);
  if (Loss == call_loss::NoAnswer)
    return finish(Call, replyToLoss(*Call, Loss, Where + " broke off"));
  if (Server == Current)
    Current = (Current + 1) % Settings.Servers.size();
  if (!Call->changes() && ++Call->Refusals < Settings.Servers.size()) {
    Waiting.push_front(Call);
    return;
  }
  finish(Call, replyToLoss(*Call, Loss, Where + " takes no connection"));
}

platform_reply platform_client::impl::decode(const call &Call,
                                             const http_answer &Answer) {
  const measured_turn Turn(Settings.OnTurn, turn_kind::DecodeAnswer,
                           Answer.Body.size());
  return Settings.Dialect.Reply(Call, Answer);
}

/// Asks for the next part of a list that comes in several, so that cores see
/// one list. The parts may be of different moments; the version of the first is
/// the one that a watch has to go on from.
void platform_client::impl::take(const call_ptr &Call, platform_reply Reply) {
  if (Reply.Outcome != platform_outcome::Ok || Call->Verb != call_verb::List)
    return finish(Call, std::move(Reply));
  if (Call->Parts.empty())
    Call->Since = Reply.StoreVersion;
  std::move(Reply.Objects.begin(), Reply.Objects.end(),
            std::back_inserter(Call->Parts));
  if (!Reply.ContinueAfter.empty() && Reply.ContinueAfter != Call->After) {
    ++Calls;
    Call->After = Reply.ContinueAfter;
    Waiting.push_front(Call);
    return;
  }
  Reply.Objects = std::move(Call->Parts);
  Reply.StoreVersion = Call->Since;
  finish(Call, std::move(Reply));
}

/// Runs from a timer, never within a connection's callback, so the connection
/// can go at once: the server may still be at work on the call.
void platform_client::impl::onTimeout(const call_ptr &Call) {
  const auto Held =
      std::find_if(Lanes.begin(), Lanes.end(),
                   [&](const auto &Lane) { return Lane->Call == Call; });
  if (Held != Lanes.end()) {
    const std::string Where = toText(Settings.Servers[(*Held)->Http->server()]);
    Call->Bytes += (*Held)->Http->received();
    Lanes.erase(Held);
    schedulePump();
    return finish(Call, replyToLoss(*Call, call_loss::NoAnswer,
                                    Where + " did not answer in time"));
  }
  std::erase(Waiting, Call);
  finish(Call, replyToLoss(*Call, call_loss::NotSent,
                           "no connection was free in time"));
}

/// The callback runs later: a core must not be entered from its own call.
void platform_client::impl::finish(const call_ptr &Call, platform_reply Reply) {
  Loop.timers().cancel(Call->Timer);
  tellEnd(*Call, Reply);
  Finished.emplace(Call, std::move(Reply));
  Loop.defer([this, Call, Alive = std::weak_ptr<bool>(Alive)] {
    if (!Alive.expired())
      deliver(Call);
  });
}

void platform_client::impl::tellEnd(const call &Call,
                                    const platform_reply &Reply) {
  if (!Settings.OnCallEnd)
    return;
  platform_call_end End;
  End.Verb = Call.Verb;
  End.Key = Call.Key;
  End.Server = Call.Server;
  End.Outcome = Reply.Outcome;
  End.Reason = Reply.Reason;
  End.Bytes = Call.Bytes;
  End.Took = Loop.timers().now() - Call.StartedAt;
  End.Wait = Call.Wait;
  Settings.OnCallEnd(End);
}

void platform_client::impl::deliver(const call_ptr &Call) {
  const auto Found = Finished.find(Call);
  if (Found == Finished.end())
    return;
  const platform_reply Reply = std::move(Found->second);
  Finished.erase(Found);
  const measured_turn Turn(Settings.OnTurn, turn_kind::TakeAnswer, Call->Bytes);
  if (const platform_callback Done = std::exchange(Call->Done, nullptr))
    Done(Reply);
}

/// Ends what is under way when the client goes.
void platform_client::impl::finishAll() {
  Closing = true;
  for (const auto &Lane : std::exchange(Lanes, {}))
    if (Lane->Call)
      finish(Lane->Call,
             replyToLoss(*Lane->Call, call_loss::NoAnswer, ClosedReason));
  for (const call_ptr &Call : std::exchange(Waiting, {}))
    finish(Call, replyToLoss(*Call, call_loss::NotSent, ClosedReason));
  while (!Finished.empty()) {
    // A pointer of our own: deliver() drops the map's.
    const call_ptr Call = Finished.begin()->first;
    deliver(Call);
  }
}

platform_client::platform_client(event_loop &Loop,
                                 platform_client_settings Settings)
    : Impl(std::make_unique<impl>(Loop, std::move(Settings))) {}

platform_client::~platform_client() { Impl->finishAll(); }

std::uint64_t platform_client::calls() const { return Impl->Calls; }

/// Starts calls for as long as the client is there. Afterwards a call is
/// answered by the loop, so that a core that asks again at once neither holds
/// up the client's end nor reaches a client that is gone.
std::function<void(call)> platform_client::impl::starter() {
  return [this, Loop = &Loop, Alive = std::weak_ptr<bool>(Alive)](call Call) {
    if (!Alive.expired() && !Closing)
      return start(std::move(Call));
    Loop->defer([Call = std::move(Call)] {
      Call.Done(replyToLoss(Call, call_loss::NotSent, ClosedReason));
    });
  };
}

platform_api platform_client::api() { return apiFor(""); }

platform_api platform_client::apiFor(const std::string &Kind) {
  const auto Start = Impl->starter();
  platform_api Api;
  Api.Read = [Start](const object_key &Key, platform_callback Done) {
    call Call;
    Call.Key = Key;
    Call.Done = std::move(Done);
    Start(std::move(Call));
  };
  Api.List = [Start](const std::string &Kind, platform_callback Done) {
    call Call;
    Call.Verb = call_verb::List;
    Call.Key.Kind = Kind;
    Call.Done = std::move(Done);
    Start(std::move(Call));
  };
  Api.Write = [Start](const platform_write &Write, platform_callback Done) {
    call Call;
    Call.Verb = call_verb::Write;
    Call.Key = Write.Object.Key;
    Call.Body = Write.Object.Body;
    Call.Expected = Write.Expected;
    Call.Writer = Write.Object.Writer;
    Call.WriterSequence = Write.Object.WriterSequence;
    Call.Done = std::move(Done);
    Start(std::move(Call));
  };
  Api.Remove = [Start](const object_key &Key, std::uint64_t Expected,
                       platform_callback Done) {
    call Call;
    Call.Verb = call_verb::Remove;
    Call.Key = Key;
    Call.Expected = Expected;
    Call.Done = std::move(Done);
    Start(std::move(Call));
  };
  Api.Watch = [Start, Kind](std::uint64_t Since, duration Wait,
                            platform_callback Done) {
    call Call;
    Call.Verb = call_verb::Watch;
    Call.Key.Kind = Kind;
    Call.Since = Since;
    Call.Wait = Wait;
    Call.Done = std::move(Done);
    Start(std::move(Call));
  };
  return Api;
}

} // namespace marjoramrail
