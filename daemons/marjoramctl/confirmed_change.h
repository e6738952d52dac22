//===- confirmed_change.h - Writes with a confirmed outcome -----*- C++ -*-===//
///
/// \file
/// The answer to a write can be lost although the write took effect. If an
/// operator were told "failed", they would apply again and might undo what a
/// colleague wrote in between. If they were told "done", the change might be
/// missing.
///
/// So the object is read back: its writer and sequence show whose write is
/// stored. If the stored object is still the old version, the first request may
/// arrive later. So the same write is sent again under the same version
/// condition, and at most one of the requests can succeed.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_CONFIRMED_CHANGE_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_CONFIRMED_CHANGE_H

#include "verb.h"

namespace marjoramrail::ctl {

/// Receives the outcome. It is Unknown only if the platform stayed unreachable.
using change_callback = std::function<void(const platform_reply &)>;

/// Writes \p Body if the stored version is \p Expected.
void writeConfirmed(ctl_context &Context, const object_key &Key,
                    const std::string &Body, std::uint64_t Expected,
                    change_callback Done);

/// Deletes the object if the stored version is \p Expected.
void removeConfirmed(ctl_context &Context, const object_key &Key,
                     std::uint64_t Expected, change_callback Done);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_CONFIRMED_CHANGE_H
