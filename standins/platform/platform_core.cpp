#include "platform_core.h"
#include "platform/object_codec.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace marjoramrail::standins {

using namespace internal;

static constexpr int DownRetryAfterSeconds = 1;
static constexpr std::uint64_t MaxWaitMs = 600'000;

platform_core::platform_core(const platform_limits &Limits, std::uint64_t Seed)
    : Writes(Limits.WritesPerSecond), Reads(Limits.ReadsPerSecond),
      Random(Seed) {}

static request_decision answer(int Code, std::string Body, int RetryAfter = 0) {
  request_decision Decision;
  Decision.Reply = {Code, std::move(Body), RetryAfter};
  return Decision;
}

static request_decision refusal(int Code, std::string_view Reason,
                                int RetryAfter = 0) {
  return answer(Code, encodeReason(Reason), RetryAfter);
}

static request_decision answerTo(const platform_reply &Reply) {
  switch (Reply.Outcome) {
  case platform_outcome::Ok:
    return answer(200, encodeObject(Reply.Object));
  case platform_outcome::NotFound:
    return refusal(404, Reply.Reason);
  case platform_outcome::Conflict:
    return answer(409, encodeObject(Reply.Object));
  default:
    return refusal(400, Reply.Reason);
  }
}

static std::optional<std::uint64_t> numberIn(const std::string &Text) {
  std::uint64_t Number = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Number;
}

static std::string toJson(const call_counters &Counters,
                          std::uint64_t Version) {
  const nlohmann::ordered_json Json = {
      {"version", Version},
      {"reads", Counters.Reads},
      {"lists", Counters.Lists},
      {"writes", Counters.Writes},
      {"removes", Counters.Removes},
      {"watches", Counters.Watches},
      {"conflicts", Counters.Conflicts},
      {"refused_by_rate", Counters.RefusedByRate},
      {"refused_by_fault", Counters.RefusedByFault},
      {"lost_answers", Counters.LostAnswers}};
  return Json.dump();
}

bool isControlPage(std::string_view Path) {
  return Path == "/v1/faults" || Path == "/v1/counters" || Path == "/readyz";
}

request_decision platform_core::handleControlPage(const http_request &Request) {
  if (Request.Path == "/readyz")
    return answer(200, "{}");
  if (Request.Path == "/v1/counters")
    return answer(200, toJson(Counters, Store.version()));
  if (Request.Method == "GET")
    return answer(200, toJson(Faults));
  if (Request.Method != "PUT")
    return refusal(400, "expected GET or PUT");
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_AUTO(Next, changeFaults(Faults, Request.Body));
    Faults = Next;
    return {};
  });
  if (Failure)
    return refusal(400, Failure->Reason);
  Store.serveOldVersion(
      Faults.ServeOldVersion == 0
          ? std::nullopt
          : std::optional<std::uint64_t>(Faults.ServeOldVersion));
  return answer(200, toJson(Faults));
}

std::optional<request_decision> platform_core::refuseByFault() {
  if (!Faults.Down && !Faults.Cut)
    return std::nullopt;
  ++Counters.RefusedByFault;
  request_decision Decision =
      refusal(503, "the platform is down", DownRetryAfterSeconds);
  if (Faults.Cut)
    Decision.Action = request_decision::action::CloseWithoutAnswer;
  return Decision;
}

request_decision platform_core::handle(const http_request &Request,
                                       instant Now) {
  if (isControlPage(Request.Path))
    return handleControlPage(Request);
  if (auto Refused = refuseByFault())
    return *Refused;
  const bool Changes = Request.Method != "GET";
  if (!(Changes ? Writes : Reads).take(Now)) {
    ++Counters.RefusedByRate;
    return refusal(429, "more calls than the platform allows", 1);
  }
  if (Request.Path == "/v1/watch")
    return handleWatch(Request);
  return handleObject(Request, Now);
}

request_decision platform_core::handleWatch(const http_request &Request) {
  const auto NumberOf = [&](const char *Name) -> std::optional<std::uint64_t> {
    const auto Found = Request.Query.find(Name);
    return Found == Request.Query.end() ? std::nullopt
                                        : numberIn(Found->second);
  };
  ++Counters.Watches;
  const auto Since = NumberOf("since");
  const auto WaitMs = NumberOf("wait_ms");
  if (!Since || !WaitMs || *WaitMs > MaxWaitMs)
    return refusal(400, "expected since=VERSION and wait_ms=0 to " +
                            std::to_string(MaxWaitMs));
  if (auto Ready = pollWatch(*Since))
    return *Ready;
  request_decision Decision;
  Decision.Action = request_decision::action::WaitForChange;
  Decision.Since = *Since;
  Decision.Wait = std::chrono::milliseconds(*WaitMs);
  return Decision;
}

std::optional<request_decision>
platform_core::pollWatch(std::uint64_t Since) const {
  if (Faults.Down || Faults.Cut) {
    request_decision Decision =
        refusal(503, "the platform is down", DownRetryAfterSeconds);
    if (Faults.Cut)
      Decision.Action = request_decision::action::CloseWithoutAnswer;
    return Decision;
  }
  const platform_reply Reply = Store.changes(Since);
  if (Reply.Objects.empty())
    return std::nullopt;
  return answer(200, encodeObjects(Reply));
}

http_reply platform_core::watchReply(std::uint64_t Since) const {
  return {200, encodeObjects(Store.changes(Since)), 0};
}

request_decision platform_core::handleObject(const http_request &Request,
                                             instant) {
  constexpr std::string_view Prefix = "/v1/objects/";
  if (Request.Path.rfind(Prefix, 0) != 0)
    return refusal(404, "no such page");
  const std::string Rest = Request.Path.substr(Prefix.size());
  const auto Slash = Rest.find('/');
  const object_key Key{Rest.substr(0, Slash), Slash == std::string::npos
                                                  ? ""
                                                  : Rest.substr(Slash + 1)};
  if (Request.Method != "GET")
    return handleChange(Request, Key);
  if (Slash == std::string::npos) {
    ++Counters.Lists;
    return answer(200, encodeObjects(Store.list(Key.Kind)));
  }
  ++Counters.Reads;
  return answerTo(Store.read(Key));
}

request_decision platform_core::handleChange(const http_request &Request,
                                             const object_key &Key) {
  const bool Removes = Request.Method == "DELETE";
  if (!Removes && Request.Method != "PUT")
    return refusal(400, "expected GET, PUT or DELETE");
  const auto Expected = numberIn(Request.IfMatch);
  if (!Expected)
    return refusal(400, "expected the header field If-Match: VERSION");
  platform_object Object;
  Object.Key = Key;
  Object.Body = Request.Body;
  Object.Writer = Request.Writer;
  Object.WriterSequence = numberIn(Request.WriterSequence).value_or(0);
  ++(Removes ? Counters.Removes : Counters.Writes);
  const platform_reply Reply = Removes ? Store.remove(Object, *Expected)
                                       : Store.write(Object, *Expected);
  Counters.Conflicts += Reply.Outcome == platform_outcome::Conflict;
  request_decision Decision = answerTo(Reply);
  std::uniform_int_distribution<std::int64_t> Percent(0, 99);
  if (Percent(Random) < Faults.LoseAnswersPercent) {
    ++Counters.LostAnswers;
    Decision.Action = request_decision::action::CloseWithoutAnswer;
  }
  return Decision;
}

} // namespace marjoramrail::standins
