#include "proxy/answers.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using nlohmann::json;
using std::chrono::ceil;
using std::chrono::milliseconds;
using std::chrono::seconds;

static agent_answer answer(const std::string &Status, const json &Body) {
  agent_answer Answer;
  Answer.Head.add(":status", Status);
  Answer.Head.add("content-type", "application/json");
  Answer.Head.add(std::string(RunHeader), Body.value("run", ""));
  Answer.Body = Body.dump();
  return Answer;
}

static agent_answer notRun(const std::string &Status, const std::string &Reason,
                           duration RetryAfter) {
  const auto Seconds =
      std::max<std::int64_t>(1, ceil<seconds>(RetryAfter).count());
  agent_answer Answer = answer(
      Status, {{"run", "no"},
               {"reason", Reason},
               {"retry_after_ms", ceil<milliseconds>(RetryAfter).count()}});
  Answer.Head.add("retry-after", std::to_string(Seconds));
  return Answer;
}

agent_answer notRun(refusal Reason, duration RetryAfter) {
  const bool CausedByCaller =
      Reason == refusal::RetryBudget || Reason == refusal::TooManyStreams;
  return notRun(CausedByCaller ? "429" : "503",
                std::string(nameOf(RefusalNames, Reason)), RetryAfter);
}

agent_answer notRun(const std::string &Reason, duration RetryAfter) {
  return notRun("503", Reason, RetryAfter);
}

agent_answer unknownOutcome(bool DeadlinePassed) {
  return answer(DeadlinePassed ? "504" : "502", {{"run", "unknown"}});
}

std::string encodeSavedAnswer(const std::string &Status,
                              const std::string &Body) {
  return Status + "\n" + Body;
}

static agent_answer decodeSavedAnswer(const std::string &SavedAnswer) {
  const std::size_t End = SavedAnswer.find('\n');
  // The answer was too long to be saved; only the fact that the request ran is
  // known.
  if (End == std::string::npos)
    return answer("410", {{"run", "yes"}, {"reason", "answer_not_kept"}});
  agent_answer Answer;
  Answer.Head.add(":status", SavedAnswer.substr(0, End));
  Answer.Body = SavedAnswer.substr(End + 1);
  return Answer;
}

agent_answer keyAnswer(const key_result &Result, bool IsRetry) {
  constexpr duration RetryDelay = std::chrono::seconds(1);
  switch (Result.Verdict) {
  case key_verdict::Done:
    return decodeSavedAnswer(Result.Outcome);
  case key_verdict::RunningElsewhere: {
    agent_answer Answer =
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
  agent_answer Answer = notRun("key_record", RetryDelay);
  // This attempt did not run, but an earlier one may have.
  if (IsRetry)
    Answer.Body = json{{"run", "unknown"}, {"reason", "key_record"}}.dump();
  return Answer;
}

bool isNotRun(const h2_head &Head) { return Head.get(RunHeader) == "no"; }

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
  constexpr std::uint64_t MaxSeconds = 86400;
  const auto Seconds = numberOf(Head, "retry-after");
  return seconds(std::min(Seconds.value_or(0), MaxSeconds));
}

h2_head withVia(const std::string &Name, const h2_head &Head) {
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
