//===- answers.h - Answers that an agent creates itself ---------*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_PROXY_ANSWERS_H
#define MARJORAMRAIL_SRC_PROXY_ANSWERS_H

#include "marjoramrail/h2.h"
#include "marjoramrail/work.h"

namespace marjoramrail::internal {

/// Prefix of the headers that agents exchange with each other. They are removed
/// from callers' requests, because a caller could otherwise impersonate a peer.
inline constexpr std::string_view OwnPrefix = "x-marjoramrail-";
inline constexpr std::string_view RunHeader = "x-marjoramrail-run";
inline constexpr std::string_view HopsHeader = "x-marjoramrail-hops";
inline constexpr std::string_view FromHeader = "x-marjoramrail-from";
inline constexpr std::string_view CallerHeader = "x-marjoramrail-caller";

/// A complete answer that the agent creates itself.
struct agent_answer {
  h2_head Head;
  std::string Body;
};

/// Answer to a request that was not run and can be sent again after
/// \p RetryAfter. The retry-after header holds it rounded up to whole seconds;
/// the body holds it in milliseconds.
agent_answer notRun(refusal Reason, duration RetryAfter);
agent_answer notRun(const std::string &Reason, duration RetryAfter);

/// Answer to a request that may or may not have run: 502, or 504 if its
/// deadline passed.
agent_answer unknownOutcome(bool DeadlinePassed);

/// Answer to a keyed request whose claim was not granted. \p IsRetry tells
/// whether the caller marked the request as a retry.
agent_answer keyAnswer(const key_result &Result, bool IsRetry);

/// Encodes an answer for storage in the record of its key.
std::string encodeSavedAnswer(const std::string &Status,
                              const std::string &Body);

/// Returns true if \p Head states explicitly that the request was not run.
bool isNotRun(const h2_head &Head);

/// Returns the value of the retry-after header, or zero if there is none.
duration retryAfterOf(const h2_head &Head);

/// Returns the value of header \p Name if it is a number.
std::optional<std::uint64_t> numberOf(const h2_head &Head,
                                      std::string_view Name);

/// Returns \p Head with \p Name appended to its Via field.
h2_head withVia(const std::string &Name, const h2_head &Head);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_PROXY_ANSWERS_H
