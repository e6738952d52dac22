//===- confirmed_change.h - Changes whose outcome gets known ------*- C++
//-*-===//
///
/// \file
/// The answer to a write can be lost although the write took effect. Told
/// "failed", an operator applies again and may undo what a colleague wrote in
/// between; told "done", the change may not be there. So the object is read
/// back: writer and sequence in it say whose write stands. Where the old
/// version still stands, the first copy may yet arrive, so the same write is
/// sent again under the same condition: at most one of the copies can win.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_CONFIRMED_CHANGE_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_CONFIRMED_CHANGE_H

#include "verb.h"

namespace marjoramrail::ctl {

/// Outcome Unknown is left only where the platform stayed out of reach.
using change_callback = std::function<void(const platform_reply &)>;

/// Writes \p Body if version \p Expected stands.
void writeConfirmed(ctl_context &Context, const object_key &Key,
                    const std::string &Body, std::uint64_t Expected,
                    change_callback Done);

/// Deletes if version \p Expected stands.
void removeConfirmed(ctl_context &Context, const object_key &Key,
                     std::uint64_t Expected, change_callback Done);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_CONFIRMED_CHANGE_H
