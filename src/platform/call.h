//===- call.h - One call of the platform's API ------------------*- C++ -*-===//
///
/// \file
/// A call from its HTTP request to its reply, without a network: what is sent,
/// what an answer means, and what is known when there is none.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_PLATFORM_CALL_H
#define MARJORAMRAIL_PLATFORM_CALL_H

#include "marjoramrail/platform.h"

#include <string>

namespace marjoramrail::internal {

using call_verb = platform_verb;

/// How a call can end without an answer.
enum class call_failure {
  /// No connection came about, or none was free: nothing was sent.
  NotSent,
  /// The connection broke, or time ran out, after the request went out.
  NoAnswer,
};

/// A call under way.
struct call : platform_call {
  platform_callback Done;

  /// Servers that refused the connection, for reads.
  std::size_t Refusals = 0;
  timer_id Timer{};
  instant StartedAt;
  /// Where the call went last, and what came of the answer's body.
  endpoint Server;
  std::size_t Bytes = 0;
  /// Earlier parts of a list that comes in several.
  std::vector<platform_object> Parts;
};

/// The path and query of a call's request.
std::string pathOf(const platform_call &Call);

/// What keeps a call from being sent, or "". Kinds, names and writers become
/// part of paths and header fields, where other characters would change the
/// request's meaning.
std::string validationError(const platform_call &Call);

platform_reply replyTo(const platform_call &Call, const http_answer &Answer);

/// The reply to a call that was not answered. A change that went out may have
/// taken effect: taken for a failure, it would be written a second time.
platform_reply replyToFailure(const platform_call &Call, call_failure Failure,
                              const std::string &Reason);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_PLATFORM_CALL_H
