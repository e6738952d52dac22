//===- platform_core.h - Object API without a network -----------*- C++ -*-===//
///
/// \file
/// Handles the HTTP requests that marjoramrail/platform.h describes: applies
/// rate limits and faults, accesses the store, and lets watches wait.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_PLATFORM_PLATFORM_CORE_H
#define MARJORAMRAIL_STANDINS_PLATFORM_PLATFORM_CORE_H

#include "call_rate_limiter.h"
#include "object_store.h"
#include "platform_faults.h"

#include <random>

namespace marjoramrail::standins {

/// The parts of an HTTP request that the platform stand-in uses.
struct http_request {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  /// The header fields If-Match, Writer and Writer-Sequence, or "".
  std::string IfMatch;
  std::string Writer;
  std::string WriterSequence;
  std::string Body;
};

/// An HTTP response.
struct http_reply {
  int Code = 200;
  std::string Body;
  /// Value of Retry-After in seconds; 0 omits the header field.
  int RetryAfter = 0;
};

/// Whether \p Path is a page that controls or observes the stand-in and is not
/// affected by faults: /v1/faults, /v1/counters and /readyz.
bool isControlPage(std::string_view Path);

/// How the server responds to a request.
struct request_decision {
  enum class action { Answer, CloseWithoutAnswer, WaitForChange };

  action Action = action::Answer;
  http_reply Reply;
  /// For WaitForChange: the version after which changes are awaited, and how
  /// long.
  std::uint64_t Since = 0;
  duration Wait = duration::zero();
};

/// Rate limits of the platform stand-in.
struct platform_limits {
  double WritesPerSecond = 500;
  double ReadsPerSecond = 2000;
};

/// Counts of calls, shown at /v1/counters.
struct call_counters {
  std::uint64_t Reads = 0;
  std::uint64_t Lists = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Removes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Conflicts = 0;
  std::uint64_t RefusedByRate = 0;
  std::uint64_t RefusedByFault = 0;
  std::uint64_t LostAnswers = 0;
};

/// The platform stand-in without its HTTP server.
class platform_core {
public:
  platform_core(const platform_limits &Limits, std::uint64_t Seed);

  object_store &store() { return Store; }
  const platform_faults &faults() const { return Faults; }
  const call_counters &counters() const { return Counters; }

  request_decision handle(const http_request &Request, instant Now);

  /// Returns the response to a waiting watch if it has one now.
  std::optional<request_decision> pollWatch(std::uint64_t Since) const;
  /// Returns the response to a watch whose waiting time is over.
  http_reply watchReply(std::uint64_t Since) const;

private:
  request_decision handleControlPage(const http_request &Request);
  request_decision handleObject(const http_request &Request, instant Now);
  request_decision handleChange(const http_request &Request,
                                const object_key &Key);
  request_decision handleWatch(const http_request &Request);
  std::optional<request_decision> refuseByFault();

  object_store Store;
  platform_faults Faults;
  call_counters Counters;
  call_rate_limiter Writes;
  call_rate_limiter Reads;
  std::mt19937_64 Random;
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_PLATFORM_PLATFORM_CORE_H
