//===- store_availability.h - Whether the store answers ---------*- C++ -*-===//
///
/// \file
/// What the calls of one feed say about the store: whether it answers, since
/// when it does not, and how long to wait before the next call.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_STORE_AVAILABILITY_H
#define MARJORAMRAIL_DIRECTORY_STORE_AVAILABILITY_H

#include "marjoramrail/base.h"

#include <optional>
#include <utility>

namespace marjoramrail::internal {

class store_availability {
public:
  struct failed_call {
    instant BegunAt;
    instant EndedAt;
  };

  /// The store has answered a call. True if it did not answer the one before.
  bool noteAnswer(instant Now);
  /// A call that began at \p BegunAt was not answered. True if the one before
  /// was.
  bool noteFailure(instant BegunAt, instant Now);
  /// The store has closed a watch. True if it has answered a call since it last
  /// closed one.
  bool noteClosure() { return !std::exchange(IsClosed, true); }

  /// The last call was answered.
  bool answering() const { return Answering; }
  std::optional<instant> answeredAt() const { return AnsweredAt; }
  const std::optional<failed_call> &lastFailure() const { return LastFailure; }
  /// The wait from the last failure to the next call: doubled with each failure
  /// in a row, up to \p Most.
  duration retryWait(duration Most) const;

private:
  bool Answering = true;
  bool IsClosed = false;
  /// Failures in a row.
  int Failures = 0;
  std::optional<failed_call> LastFailure;
  std::optional<instant> AnsweredAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_STORE_AVAILABILITY_H
