#include "caller_flow.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace marjoramrail::standins {

using std::chrono::milliseconds;

/// How long a caller waits beyond the deadline of a request, for an answer that
/// is in transit, before it cancels the request.
static constexpr duration ResponseGracePeriod = milliseconds(1000);

caller_flow::caller_flow(timer_service &Timers, std::string Service,
                         hooks Hooks)
    : Timers(Timers), Service(std::move(Service)), Hooks(std::move(Hooks)) {}

caller_flow::~caller_flow() {
  for (auto &[Stream, Item] : Pending)
    Timers.cancel(Item.Timeout);
}

result<void> caller_flow::open(tcp_stack &Stack, const endpoint &Local,
                               const endpoint &Remote) {
  stack_flow::hooks Streaming;
  Streaming.OnConnected = [this] {
    Open = true;
    startSession();
    Hooks.OnOpen();
  };
  Streaming.OnData = [this](std::string_view Bytes) {
    Flow->consumed(Bytes.size());
    if (!Session->input(Bytes))
      endFlow(flow_outcome::Broken, "broken protocol");
  };
  Streaming.OnEnd = [this] {
    endFlow(GoingAway ? flow_outcome::Moved : flow_outcome::Broken,
            "ended by the peer");
  };
  Streaming.OnWritable = [this] { pump(); };
  Streaming.OnClosed = [this](flow_end End) {
    endFlow(flow_outcome::Broken, std::string(nameOf(FlowEndNames, End)));
  };
  BOOST_LEAF_AUTO(Opened, Stack.connect(Local, Remote, std::move(Streaming)));
  Flow = std::move(Opened);
  return {};
}

void caller_flow::startSession() {
  h2_hooks Sessions;
  Sessions.Output = [this](std::string_view Bytes) {
    Outgoing += Bytes;
    pump();
  };
  Sessions.OnHead = [this](h2_stream Stream, const h2_head &Head, bool) {
    onHead(Stream, Head);
  };
  Sessions.OnData = [this](h2_stream Stream, std::string_view Data, bool) {
    onData(Stream, Data);
  };
  Sessions.OnClose = [this](h2_stream Stream, h2_error Code) {
    onClose(Stream, Code);
  };
  Sessions.OnGoAway = [this](h2_stream, h2_error) {
    GoingAway = true;
    closeIfIdle();
  };
  Session = std::make_unique<h2_session>(h2_role::Client, h2_settings(),
                                         std::move(Sessions));
  startStream();
  Session->flush();
}

void caller_flow::pump() {
  if (Ended || Outgoing.empty())
    return;
  const std::size_t Taken = Flow->write(Outgoing);
  Outgoing.erase(0, Taken);
}

void caller_flow::enableLongStream(std::uint32_t IntervalMs) {
  StreamIntervalMs = IntervalMs;
  startStream();
}

void caller_flow::startStream() {
  if (StreamIntervalMs == 0 || LongStream > 0 || !Session || GoingAway)
    return;
  attempt Stream;
  Stream.Path = "/stream";
  h2_head Head = headOf(Stream);
  Head.add("x-interval-ms", std::to_string(StreamIntervalMs));
  LongStream = Session->request(Head, true);
  Session->flush();
}

h2_head caller_flow::headOf(const attempt &Attempt) const {
  h2_head Head;
  Head.add(":method", Attempt.Path == "/work" ? "POST" : "GET");
  Head.add(":scheme", "http");
  Head.add(":authority", Service);
  Head.add(":path", Attempt.Path);
  Head.add("x-service", Service);
  return Head;
}

void caller_flow::send(attempt Attempt) {
  h2_head Head = headOf(Attempt);
  Head.add("x-request", Attempt.Request);
  Head.add("x-work-ms", std::to_string(Attempt.WorkMs));
  Head.add("x-deadline-ms", std::to_string(Attempt.DeadlineMs));
  if (Attempt.Try > 1)
    Head.add("x-try", std::to_string(Attempt.Try));
  if (!Attempt.Key.empty())
    Head.add("idempotency-key", Attempt.Key);
  const h2_stream Stream = Session->request(Head, true);
  if (Stream < 0)
    return Hooks.OnEnd(
        Attempt, {attempt_outcome::Refused, "goaway", "", duration::zero()});
  pending &Item = Pending[Stream];
  Item.Attempt = std::move(Attempt);
  const duration ResponseTimeout =
      milliseconds(Item.Attempt.DeadlineMs) + ResponseGracePeriod;
  Item.Timeout =
      Timers.after(ResponseTimeout, [this, Stream] { cancelRequest(Stream); });
  Session->flush();
}

void caller_flow::cancelRequest(h2_stream Stream) {
  // OnClose then reports the outcome: without an answer it is unknown.
  Session->reset(Stream, h2_error::Cancel);
  Session->flush();
}

/// Returns the agent that owns the flow, which is the last entry of the via
/// header field of an answer.
static std::string ownerIn(std::string_view Via) {
  const auto Space = Via.rfind(' ');
  return Space == std::string_view::npos ? ""
                                         : std::string(Via.substr(Space + 1));
}

void caller_flow::onHead(h2_stream Stream, const h2_head &Head) {
  if (const std::string Owner = ownerIn(Head.get("via")); !Owner.empty())
    Host = Owner;
  if (Stream == LongStream)
    return;
  const auto Found = Pending.find(Stream);
  if (Found == Pending.end())
    return;
  Found->second.Status = Head.get(":status");
  Found->second.Host = Head.get("x-host");
  Found->second.RetryAfter = Head.get("retry-after");
}

void caller_flow::onData(h2_stream Stream, std::string_view Data) {
  if (Stream == LongStream) {
    Ticks +=
        static_cast<std::uint64_t>(std::count(Data.begin(), Data.end(), '\n'));
    return;
  }
  const auto Found = Pending.find(Stream);
  if (Found != Pending.end())
    Found->second.Body += Data;
}

void caller_flow::onClose(h2_stream Stream, h2_error Code) {
  if (Stream == LongStream) {
    LongStream = 0;
    if (!GoingAway && !Ended)
      Timers.after(milliseconds(100), [this, Weak = std::weak_ptr(Alive)] {
        if (Weak.lock())
          startStream();
      });
    return;
  }
  const auto Found = Pending.find(Stream);
  if (Found == Pending.end())
    return;
  const pending Item = std::move(Found->second);
  Pending.erase(Found);
  Timers.cancel(Item.Timeout);
  Hooks.OnEnd(Item.Attempt, classifyResponse(Item, Code));
  closeIfIdle();
}

/// Returns the "run" member of the JSON body of a refusal, or "".
static std::string runFieldOf(const std::string &Body) {
  const auto Json = nlohmann::json::parse(Body, nullptr, false);
  return Json.is_object() ? Json.value("run", "") : "";
}

static duration secondsIn(const std::string &Text) {
  double Seconds = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
}

static bool isMatchingAnswer(const attempt &Attempt, const std::string &Body) {
  if (Attempt.DocumentBytes > 0)
    return Body.size() == Attempt.DocumentBytes;
  const auto Json = nlohmann::json::parse(Body, nullptr, false);
  if (!Json.is_object())
    return false;
  // A retry with the same key can get the answer of an earlier attempt, which
  // is correct too.
  const std::string Base = Attempt.Request.substr(0, Attempt.Request.find('/'));
  return Json.value("request", "").starts_with(Base + "/");
}

attempt_end caller_flow::classifyResponse(const pending &Item,
                                          h2_error Code) const {
  attempt_end End;
  End.Status = Item.Status;
  End.Host = Item.Host;
  End.RetryAfter = secondsIn(Item.RetryAfter);
  if (Code == h2_error::RefusedStream) {
    End.Outcome = attempt_outcome::Refused;
    return End;
  }
  if (Code != h2_error::NoError || Item.Status.empty())
    return End;
  if (Item.Status == "200")
    End.Outcome = isMatchingAnswer(Item.Attempt, Item.Body)
                      ? attempt_outcome::Ok
                      : attempt_outcome::Wrong;
  else if (runFieldOf(Item.Body) == "no")
    End.Outcome = attempt_outcome::Refused;
  return End;
}

void caller_flow::closeIfIdle() {
  if (!GoingAway || Ended || !Pending.empty())
    return;
  // After GOAWAY the caller ends its long-lived stream itself. No data is lost,
  // because the stream starts again on the next flow.
  endFlow(flow_outcome::Moved, "told to leave");
}

void caller_flow::endFlow(flow_outcome FlowOutcome, const std::string &Reason) {
  if (std::exchange(Ended, true))
    return;
  Open = false;
  for (auto &[Stream, Item] : std::exchange(Pending, {})) {
    Timers.cancel(Item.Timeout);
    Hooks.OnEnd(Item.Attempt, attempt_end());
  }
  if (Flow && FlowOutcome == flow_outcome::Moved)
    Flow->close();
  Hooks.OnFlowEnded(FlowOutcome, Reason);
}

} // namespace marjoramrail::standins
