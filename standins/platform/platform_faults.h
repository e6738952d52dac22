//===- platform_faults.h - Faults that can be switched on -------*- C++ -*-===//
///
/// \file
/// What is wrong with the platform at the moment. Switched while it runs by
/// PUT /v1/faults, whose JSON changes the fields that it names:
///   {"down": true}                every call is refused with 503
///   {"cut": true}                 connections end with no answer, nothing done
///   {"delay_ms": 500}             every call takes effect that much later
///   {"lose_answers_percent": 10}  changes take effect, their answer is lost
///   {"serve_old_version": 7}      reads answer as of version 7; 0 = the
///   present
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_PLATFORM_PLATFORM_FAULTS_H
#define MARJORAMRAIL_STANDINS_PLATFORM_PLATFORM_FAULTS_H

#include "marjoramrail/base.h"

namespace marjoramrail::standins {

struct platform_faults {
  bool Down = false;
  bool Cut = false;
  std::int64_t DelayMs = 0;
  std::int64_t LoseAnswersPercent = 0;
  std::int64_t ServeOldVersion = 0;
};

/// Returns \p Faults with the fields that \p Json names changed.
result<platform_faults> changeFaults(const platform_faults &Faults,
                                     std::string_view Json);

std::string toJson(const platform_faults &Faults);

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_PLATFORM_PLATFORM_FAULTS_H
