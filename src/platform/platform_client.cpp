#include "platform/http_connection.h"
#include "platform/object_codec.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>

namespace marjoramrail {

using namespace internal;
using call_ptr = std::shared_ptr<call>;

static constexpr const char *ClosedReason = "the client was closed";

static platform_reply invalidReply(const std::string &Reason) {
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
  /// A connection and its call. An unusable one is removed by the next
  /// dispatchWaiting(), since a connection must not be freed from within its
  /// own callback.
  struct pooled_connection {
    std::unique_ptr<http_connection> Http;
    call_ptr Call;
    bool Unusable = false;
  };

  /// Before the first response, every call of this number for the same object
  /// or kind gets the full time-out.
  static constexpr unsigned FullTimeoutInterval = 4;
  /// Limits the total time of a response: a server that sends a byte now and
  /// then must not keep a call open indefinitely.
  static constexpr duration MaxAnswerTime = std::chrono::seconds(30);

  void start(call Call);
  duration timeoutOf(const call &Call);
  void dispatchWaiting();
  void closeIdleConnections();
  void scheduleDispatch();
  pooled_connection *connectionFor(const call &Call);
  void send(pooled_connection &Pooled, const call_ptr &Call);
  void onDone(pooled_connection &Pooled, std::optional<http_answer> Answer,
              call_failure Failure);
  void onPart(const call_ptr &Call);
  void armTimer(const call_ptr &Call, duration Limit);
  void onTimeout(const call_ptr &Call);
  platform_reply decode(const call &Call, const http_answer &Answer);
  void handleAnswer(const call_ptr &Call, platform_reply Reply);
  void reportEnd(const call &Call, const platform_reply &Reply);
  void finish(const call_ptr &Call, platform_reply Reply);
  void deliver(const call_ptr &Call);

  /// Calls that wait for a connection.
  std::deque<call_ptr> Waiting;
  std::vector<std::unique_ptr<pooled_connection>> Pool;
  /// Calls that have ended and whose callback has not run yet.
  std::map<call_ptr, platform_reply> Finished;
  /// Index of the server that new connections use.
  std::size_t CurrentServer = 0;
  std::uint64_t Sequence = 0;
  bool HasAnswered = false;
  /// The number of calls before the first response, by object or kind.
  std::map<object_key, unsigned> FirstCalls;
  bool DispatchScheduled = false;
  bool IsClosing = false;
  /// Deferred tasks use this to check whether the client still exists.
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
  if (const std::string Fault = validationError(*Shared); !Fault.empty())
    return finish(Shared, invalidReply(Fault));
  if (Settings.Servers.empty())
    return finish(Shared, replyToFailure(*Shared, call_failure::NotSent,
                                         "no platform server is configured"));
  if (Waiting.size() >= Settings.MaxWaiting)
    return finish(
        Shared, replyToFailure(*Shared, call_failure::NotSent,
                               "too many calls are waiting for a connection"));
  Waiting.push_back(Shared);
  scheduleDispatch();
}

duration platform_client::impl::timeoutOf(const call &Call) {
  const bool IsRead =
      Call.Verb == call_verb::Read || Call.Verb == call_verb::List;
  if (HasAnswered || !IsRead || Settings.FirstTimeout == duration::zero())
    return Call.Wait + Settings.Timeout;
  const bool UsesFullTimeout =
      ++FirstCalls[Call.Key] % FullTimeoutInterval == 0;
  return UsesFullTimeout ? Settings.Timeout : Settings.FirstTimeout;
}

void platform_client::impl::scheduleDispatch() {
  if (std::exchange(DispatchScheduled, true))
    return;
  Loop.defer([this, Alive = std::weak_ptr<bool>(Alive)] {
    if (Alive.expired())
      return;
    DispatchScheduled = false;
    dispatchWaiting();
  });
}

/// Assigns waiting calls to free connections in order. Watches have connections
/// of their own: they neither wait behind other calls nor delay them.
void platform_client::impl::dispatchWaiting() {
  std::erase_if(Pool, [&](const std::unique_ptr<pooled_connection> &Pooled) {
    return Pooled->Unusable ||
           (!Pooled->Call && Pooled->Http->server() != CurrentServer);
  });
  // A connection may fail at once and return its call to Waiting.
  std::deque<call_ptr> Left;
  for (const call_ptr &Call : std::exchange(Waiting, {})) {
    if (pooled_connection *Pooled = connectionFor(*Call))
      send(*Pooled, Call);
    else
      Left.push_back(Call);
  }
  Waiting.insert(Waiting.end(), Left.begin(), Left.end());
}

platform_client::impl::pooled_connection *
platform_client::impl::connectionFor(const call &Call) {
  const bool IsWatch = Call.Verb == call_verb::Watch;
  std::size_t InUse = 0;
  for (const auto &Pooled : Pool) {
    if (!Pooled->Call && !Pooled->Unusable)
      return Pooled.get();
    InUse += Pooled->Call && Pooled->Call->Verb != call_verb::Watch;
  }
  if (!IsWatch && InUse >= Settings.MaxConnections)
    return nullptr;
  auto Pooled = std::make_unique<pooled_connection>();
  Pooled->Http = std::make_unique<http_connection>(
      Loop, CurrentServer, Settings.Servers[CurrentServer]);
  Pool.push_back(std::move(Pooled));
  return Pool.back().get();
}

void platform_client::impl::send(pooled_connection &Pooled,
                                 const call_ptr &Call) {
  Pooled.Call = Call;
  Call->Server = Pooled.Http->address();
  Pooled.Http->send(
      Settings.Dialect.Request(*Call), [this, Call] { onPart(Call); },
      [this, &Pooled](std::optional<http_answer> Answer, call_failure Failure) {
        onDone(Pooled, std::move(Answer), Failure);
      });
}

/// A slow link, or a VM with little processor time, can take longer for a large
/// response than the time-out. If the call were aborted and repeated, it would
/// start from the first byte each time, saturate the link and never complete;
/// the log shows this as failed calls of which most bytes have arrived.
/// Therefore the time-out restarts with each part received.
void platform_client::impl::onPart(const call_ptr &Call) {
  Loop.updateClock();
  const duration Left =
      Call->StartedAt + Call->Wait + MaxAnswerTime - Loop.timers().now();
  Loop.timers().cancel(Call->Timer);
  armTimer(Call, std::min(Settings.Timeout, Left));
}

void platform_client::impl::armTimer(const call_ptr &Call, duration Limit) {
  Call->Timer = Loop.timers().after(Limit, [this, Call] { onTimeout(Call); });
}

void platform_client::impl::onDone(pooled_connection &Pooled,
                                   std::optional<http_answer> Answer,
                                   call_failure Failure) {
  const call_ptr Call = std::exchange(Pooled.Call, nullptr);
  const std::size_t Server = Pooled.Http->server();
  scheduleDispatch();
  HasAnswered |= Answer.has_value();
  if (HasAnswered)
    FirstCalls.clear();
  if (Answer) {
    Call->Bytes += Answer->Body.size();
    return handleAnswer(Call, decode(*Call, *Answer));
  }
  Pooled.Unusable = true;
  const std::string Where = toText(Settings.Servers[Server]);
  if (Failure == call_failure::NoAnswer) {
    platform_reply Reply = replyToFailure(
        *Call, Failure,
        Where + " closed the connection before its response was complete");
    Reply.IsConnectionClosed = true;
    return finish(Call, std::move(Reply));
  }
  if (Server == CurrentServer)
    CurrentServer = (CurrentServer + 1) % Settings.Servers.size();
  if (!Call->changes() && ++Call->Refusals < Settings.Servers.size()) {
    Waiting.push_front(Call);
    return;
  }
  finish(Call, replyToFailure(*Call, Failure, Where + " takes no connection"));
}

platform_reply platform_client::impl::decode(const call &Call,
                                             const http_answer &Answer) {
  const callback_timer Timer(Settings.OnCallback, callback_kind::DecodeAnswer,
                             Answer.Body.size());
  return Settings.Dialect.Reply(Call, Answer);
}

/// Requests the next part of a list that is returned in several parts, so that
/// callers get one list. The parts may be of different points in time; a watch
/// has to continue from the version of the first one.
void platform_client::impl::handleAnswer(const call_ptr &Call,
                                         platform_reply Reply) {
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

/// Connections can go silent together, and nothing shows it on an idle one: the
/// next call on it would wait for its time-out in vain.
void platform_client::impl::closeIdleConnections() {
  std::erase_if(Pool, [](const std::unique_ptr<pooled_connection> &Pooled) {
    return !Pooled->Call;
  });
}

/// Runs from a timer, never within a connection's callback, so that the
/// connection can be closed at once. The server may still be processing the
/// call.
void platform_client::impl::onTimeout(const call_ptr &Call) {
  const auto Held =
      std::find_if(Pool.begin(), Pool.end(),
                   [&](const auto &Pooled) { return Pooled->Call == Call; });
  if (Held != Pool.end()) {
    const std::string Where = toText(Settings.Servers[(*Held)->Http->server()]);
    Call->Bytes += (*Held)->Http->received();
    Pool.erase(Held);
    closeIdleConnections();
    scheduleDispatch();
    return finish(Call, replyToFailure(*Call, call_failure::NoAnswer,
                                       Where + " did not answer in time"));
  }
  std::erase(Waiting, Call);
  finish(Call, replyToFailure(*Call, call_failure::NotSent,
                              "no connection became available in time"));
}

/// Runs the callback later: it must not be called from within the call itself.
void platform_client::impl::finish(const call_ptr &Call, platform_reply Reply) {
  Loop.timers().cancel(Call->Timer);
  reportEnd(*Call, Reply);
  Finished.emplace(Call, std::move(Reply));
  Loop.defer([this, Call, Alive = std::weak_ptr<bool>(Alive)] {
    if (!Alive.expired())
      deliver(Call);
  });
}

void platform_client::impl::reportEnd(const call &Call,
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
  const callback_timer Timer(Settings.OnCallback, callback_kind::TakeAnswer,
                             Call->Bytes);
  if (const platform_callback Done = std::exchange(Call->Done, nullptr))
    Done(Reply);
}

/// Ends all pending calls when the client is destroyed.
void platform_client::impl::finishAll() {
  IsClosing = true;
  for (const auto &Pooled : std::exchange(Pool, {}))
    if (Pooled->Call)
      finish(Pooled->Call, replyToFailure(*Pooled->Call, call_failure::NoAnswer,
                                          ClosedReason));
  for (const call_ptr &Call : std::exchange(Waiting, {}))
    finish(Call, replyToFailure(*Call, call_failure::NotSent, ClosedReason));
  while (!Finished.empty()) {
    // A copy, since deliver() erases the map entry.
    const call_ptr Call = Finished.begin()->first;
    deliver(Call);
  }
}

platform_client::platform_client(event_loop &Loop,
                                 platform_client_settings Settings)
    : Impl(std::make_unique<impl>(Loop, std::move(Settings))) {}

platform_client::~platform_client() { Impl->finishAll(); }

std::uint64_t platform_client::calls() const { return Impl->Calls; }

/// Starts calls while the client exists. Afterwards a call is answered by the
/// event loop, so that a caller that repeats it immediately neither delays the
/// client's destruction nor accesses a destroyed client.
std::function<void(call)> platform_client::impl::starter() {
  return [this, Loop = &Loop, Alive = std::weak_ptr<bool>(Alive)](call Call) {
    if (!Alive.expired() && !IsClosing)
      return start(std::move(Call));
    Loop->defer([Call = std::move(Call)] {
      Call.Done(replyToFailure(Call, call_failure::NotSent, ClosedReason));
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
  Api.ReadStale = [Start](const object_key &Key, platform_callback Done) {
    call Call;
    Call.Key = Key;
    Call.AllowStale = true;
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
