//===- routes_lag.h - Notices a configuration that is late ------*- C++ -*-===//
///
/// \file
/// Notices when the configuration in effect may be out of date, and at which
/// step the newest one is held up. A balancer whose watch or copy does not
/// come hears of no failure, and its log looks like a time without changes. So
/// the check needs no message: the age of the last confirmation is enough.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_ROUTES_LAG_H
#define MARJORAMRAIL_DIRECTORY_ROUTES_LAG_H

#include "marjoramrail/base.h"

#include <optional>
#include <string>

namespace marjoramrail::internal {

/// The steps of a configuration into effect, in their order.
enum class routes_step {
  /// The store, or a peer that it answers, states that nothing is missing.
  Confirm,
  /// A peer is known to have a newer configuration.
  Copy,
  /// It has arrived and is being read.
  Read,
  /// It has been read; the services on record are not known yet.
  AwaitRecord,
  /// It waits until all balancers know its new services.
  Settle,
};

inline constexpr name_table<routes_step, 5> RoutesStepNames = {{
    {routes_step::Confirm, "not confirmed"},
    {routes_step::Copy, "not copied"},
    {routes_step::Read, "not read"},
    {routes_step::AwaitRecord, "services on record not known"},
    {routes_step::Settle, "not in force"},
}};

/// The step at which the newest configuration is, and since when.
struct routes_position {
  routes_step Step = routes_step::Confirm;
  instant Since;
};

/// A configuration whose current step takes longer than this is late: all steps
/// together take less while one source of data fails.
inline constexpr duration MaxStepTime = std::chrono::milliseconds(2500);

class routes_lag {
public:
  enum class change { None, Late, Current };

  /// Compares \p Position with MaxStepTime; returns what has changed since the
  /// previous call.
  change update(const routes_position &Position, instant Now);
  /// How long the step has taken, while it is late.
  std::optional<duration> lateFor() const { return Late; }
  /// The longest time since the configuration became late, or of the last time
  /// that it was.
  duration longest() const { return Longest; }

private:
  std::optional<duration> Late;
  duration Longest = duration::zero();
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_ROUTES_LAG_H
