#include "proxy/answers.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using nlohmann::json;
using std::chrono::ceil;
using std::chrono::milliseconds;
using std::chrono::seconds;

static own_answer answer(const std::string &Status, const json &Body) {
  own_answer Answer;
  Answer.Head.add(":status", Status);
  Answer.Head.add("content-type", "application/json");
  Answer.Head.add(std::string(RunHeader), Body.value("run", ""));
  Answer.Body = Body.dump();
  return Answer;
}

static own_answer notRun(const std::string &Status, const std::string &Reason,
                         duration RetryAfter) {
  const auto Seconds =
      std::max<std::int64_t>(1, ceil<seconds>(RetryAfter).count());
  own_answer Answer = answer(
      Status, {{"run", "no"},
               {"reason", Reason},
               {"retry_after_ms", ceil<milliseconds>(RetryAfter).count()}});
  Answer.Head.add("retry-after", std::to_string(Seconds));
  return Answer;
}

own_answer notRun(refusal Reason, duration RetryAfter) {
  const bool CallersFault =
      Reason == refusal::RetryBudget || Reason == refusal::TooManyStreams;
  return notRun(CallersFault ? "429" : "503",
                std::string(nameOf(RefusalNames, Reason)), RetryAfter);
}

own_answer notRun(const std::string &Reason, duration RetryAfter) {
  return notRun("503", Reason, RetryAfter);
}

own_answer unknownOutcome(bool DeadlinePassed) {
  return answer(DeadlinePassed ? "504" : "502", {{"run", "unknown"}});
}

std::string keptAnswer(const std::string &Status, const std::string &Body) {
  return Status + "\n" + Body;
}

static own_answer repeatedAnswer(const std::string &Kept) {
  const std::size_t End = Kept.find('\n');
  // Too long to be kept: it ran, and that is all that is known.
  if (End == std::string::npos)
    return answer("410", {{"run", "yes"}, {"reason", "answer_not_kept"}});
  own_answer Answer;
  Answer.Head.add(":status", Kept.substr(0, End));
  Answer.Body = Kept.substr(End + 1);
  return Answer;
}

own_answer keyAnswer(const key_result &Result, bool IsRetry) {
  constexpr duration ComeBack = std::chrono::seconds(1);
  switch (Result.Verdict) {
  case key_verdict::Done:
    return repeatedAnswer(Result.Outcome);
  case key_verdict::RunningElsewhere: {
    own_answer Answer =
        answer("409", {{"run", "unknown"}, {"reason", "in_progress"}});
    Answer.Head.add("retry-after", "1");
    return Answer;
  }
  case key_verdict::Run:
  case key_verdict::Unknown:
    return unknownOutcome(false);
  case key_verdict::RecordsIncomplete:
  case key_verdict::Full:
  case key_verdict::NoAnswer:
    break;
  }
  own_answer Answer = notRun("key_record", ComeBack);
  // This try did not run, but an earlier one may have.
  if (IsRetry)
    Answer.Body = json{{"run", "unknown"}, {"reason", "key_record"}}.dump();
  return Answer;
}

bool saysNotRun(const h2_head &Head) { return Head.get(RunHeader) == "no"; }

std::optional<std::uint64_t> numberOf(const h2_head &Head,
                                      std::string_view Name) {
  const std::string_view Text = Head.get(Name);
  std::uint64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

duration retryAfterOf(const h2_head &Head) {
  constexpr std::uint64_t Most = 86400;
  const auto Seconds = numberOf(Head, "retry-after");
  return seconds(std::min(Seconds.value_or(0), Most));
}

h2_head passedBy(const std::string &Name, const h2_head &Head) {
  h2_head Passed = Head;
  const std::string Here = "2 " + Name;
  for (h2_field &Field : Passed.Fields) {
    if (Field.Name != "via")
      continue;
    Field.Value += ", " + Here;
    return Passed;
  }
  Passed.add("via", Here);
  return Passed;
}

} // namespace marjoramrail::internal
