//===- platform_faults.h - Faults of the platform stand-in ------*- C++ -*-===//
///
/// \file
/// The faults that the platform stand-in simulates. PUT /v1/faults changes them
/// at run time; its JSON body changes the fields that it names:
///   {"down": true}                every call is refused with 503
///   {"cut": true}                 connections close without an answer;
///                                 the calls have no effect
///   {"delay_ms": 500}             every call takes effect that much later
///   {"lose_answers_percent": 10}  changes take effect, their answers are lost
///   {"serve_old_version": 7}      reads answer as of version 7; 0 = current
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_PLATFORM_PLATFORM_FAULTS_H
#define MARJORAMRAIL_STANDINS_PLATFORM_PLATFORM_FAULTS_H

#include "marjoramrail/base.h"

namespace marjoramrail::standins {

/// The faults that are switched on.
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

/// Returns all fields as the JSON object that /v1/faults shows.
std::string toJson(const platform_faults &Faults);

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_PLATFORM_PLATFORM_FAULTS_H
