//===- answers.h - What an agent itself answers to a request ----*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_PROXY_ANSWERS_H
#define MARJORAMRAIL_SRC_PROXY_ANSWERS_H

#include "marjoramrail/h2.h"
#include "marjoramrail/work.h"

namespace marjoramrail::internal {

/// Prefix of the headers that agents exchange. From callers they are dropped:
/// a caller could otherwise pass for a peer.
inline constexpr std::string_view OwnPrefix = "x-marjoramrail-";
inline constexpr std::string_view RunHeader = "x-marjoramrail-run";
inline constexpr std::string_view HopsHeader = "x-marjoramrail-hops";
inline constexpr std::string_view FromHeader = "x-marjoramrail-from";
inline constexpr std::string_view CallerHeader = "x-marjoramrail-caller";

/// A whole answer of the agent's own.
struct agent_answer {
  h2_head Head;
  std::string Body;
};

/// "Was not run; come back after \p RetryAfter", rounded up to whole seconds as
/// the header asks, exact in the body.
agent_answer notRun(refusal Reason, duration RetryAfter);
agent_answer notRun(const std::string &Reason, duration RetryAfter);

/// "May or may not have run": 502, or 504 if the deadline passed.
agent_answer unknownOutcome(bool DeadlinePassed);

/// What a repeat of a key is told, or a first try that cannot be claimed.
agent_answer keyAnswer(const key_result &Result, bool IsRetry);

/// The form in which an answer is kept with its key, and back.
std::string encodeSavedAnswer(const std::string &Status,
                              const std::string &Body);

/// Whether \p Head says explicitly that the request was not run.
bool isNotRun(const h2_head &Head);

/// The seconds of retry-after; zero where there is none.
duration retryAfterOf(const h2_head &Head);

/// A number in a header, if it is one.
std::optional<std::uint64_t> numberOf(const h2_head &Head,
                                      std::string_view Name);

/// \p Head with \p Name at the end of its Via field.
h2_head withVia(const std::string &Name, const h2_head &Head);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_PROXY_ANSWERS_H
