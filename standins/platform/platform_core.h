//===- platform_core.h - The object API without a network -------*- C++ -*-===//
///
/// \file
/// Decides what each HTTP request of platform.h gets: limits, faults, the
/// store, and watches that wait.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_PLATFORM_PLATFORM_CORE_H
#define MARJORAMRAIL_STANDINS_PLATFORM_PLATFORM_CORE_H

#include "call_rate_limiter.h"
#include "object_store.h"
#include "platform_faults.h"

#include <random>

namespace marjoramrail::standins {

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

struct http_reply {
  int Code = 200;
  std::string Body;
  /// Seconds; 0 = no such field.
  int RetryAfter = 0;
};

/// Whether \p Path is one of the stand-in's own pages, which no fault touches:
/// /v1/faults, /v1/counters and /readyz.
bool isControlPage(std::string_view Path);

/// What becomes of a request.
struct request_decision {
  enum class action { Answer, CloseWithoutAnswer, WaitForChange };

  action Action = action::Answer;
  http_reply Reply;
  /// Of a watch that waits.
  std::uint64_t Since = 0;
  duration Wait = duration::zero();
};

struct platform_limits {
  double WritesPerSecond = 500;
  double ReadsPerSecond = 2000;
};

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

class platform_core {
public:
  platform_core(const platform_limits &Limits, std::uint64_t Seed);

  object_store &store() { return Store; }
  const platform_faults &faults() const { return Faults; }
  const call_counters &counters() const { return Counters; }

  request_decision handle(const http_request &Request, instant Now);

  /// The answer to a waiting watch, if there is one by now.
  std::optional<request_decision> pollWatch(std::uint64_t Since) const;
  /// The answer to a watch that has waited its time.
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
