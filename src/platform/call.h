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

enum class call_verb { Read, List, Write, Remove, Watch };

/// How a call can end without an answer.
enum class call_loss {
  /// No connection came about, or none was free: nothing was sent.
  NotSent,
  /// The connection broke, or time ran out, after the request went out.
  NoAnswer,
};

struct call {
  call_verb Verb = call_verb::Read;
  object_key Key;
  std::string Body;
  std::string Writer;
  std::uint64_t WriterSequence = 0;
  std::uint64_t Expected = 0;
  /// Of a watch: from which version, and how long the server may wait.
  std::uint64_t Since = 0;
  duration Wait = duration::zero();
  platform_callback Done;

  /// Servers that refused the connection, for reads.
  std::size_t Refusals = 0;
  timer_id Timer{};

  bool changes() const {
    return Verb == call_verb::Write || Verb == call_verb::Remove;
  }
};

/// The path and query of a call's request.
std::string pathOf(const call &Call);

/// What keeps a call from being sent, or "". Kinds, names and writers become
/// part of paths and header fields, where other characters would change the
/// request's meaning.
std::string faultOf(const call &Call);

/// One HTTP answer.
struct http_answer {
  int Code = 0;
  std::string Body;
  /// The field retry-after, or "".
  std::string RetryAfter;
};

platform_reply replyTo(const call &Call, const http_answer &Answer);

/// The reply to a call that was not answered. A change that went out may have
/// taken effect: taken for a failure, it would be written a second time.
platform_reply replyToLoss(const call &Call, call_loss Loss,
                           const std::string &Reason);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_PLATFORM_CALL_H
