//===- verb.h - What the verbs of marjoramctl share -------------*- C++ -*-===//
///
/// \file
/// A verb is a function that talks to the platform through platform_api, writes
/// lines through hooks and ends once with an exit code; it can be tested with
/// a fake platform and no network.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_VERB_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_VERB_H

#include "marjoramrail/platform.h"
#include "marjoramrail/resource.h"

#include <optional>

namespace marjoramrail::ctl {

enum class exit_code : int {
  Ok = 0,
  /// The object or the file is wrong, or there is no such object.
  Refused = 1,
  Usage = 2,
  /// Another version stands; nothing was written.
  Conflict = 3,
  /// The platform could not be reached; nothing was written.
  Unavailable = 4,
  /// It could not be found out whether the change took effect.
  Unknown = 5,
};

/// The flags of all verbs; each verb's help names those that it takes.
struct ctl_options {
  std::vector<std::string> Arguments;
  std::optional<std::uint64_t> IfVersion;
  std::optional<std::uint64_t> Since;
  /// 0 = no bound.
  std::chrono::seconds For{0};
  std::string Reason;
  bool Wait = false;
  bool Undo = false;
  std::vector<endpoint> From;
  std::string Service;
  std::string Flow;
  std::string Host;
  std::string Explain;
  std::string Request;
};

/// The body of a page of a process, or the failure to get it.
using page_callback = std::function<void(const std::optional<std::string> &Body,
                                         const failure &Failure)>;

struct ctl_context {
  platform_api Platform;
  timer_service &Timers;
  /// One line to standard output, and one to standard error.
  std::function<void(const std::string &)> Out;
  std::function<void(const std::string &)> Err;
  std::function<result<std::string>(const std::string &Path)> ReadFile;
  std::function<void(const endpoint &Process, const std::string &Path,
                     page_callback)>
      FetchPage;
  /// Unlike that of any other run, so that a read-back tells whose write
  /// stands.
  std::string Writer;
  std::uint64_t Sequence = 0;
};

using finish = std::function<void(exit_code)>;
using verb_function =
    std::function<void(ctl_context &, const ctl_options &, finish)>;

void runApply(ctl_context &Context, const ctl_options &Options,
              const finish &Done);
void runGet(ctl_context &Context, const ctl_options &Options,
            const finish &Done);
void runList(ctl_context &Context, const ctl_options &Options,
             const finish &Done);
void runWatch(ctl_context &Context, const ctl_options &Options,
              const finish &Done);
void runDelete(ctl_context &Context, const ctl_options &Options,
               const finish &Done);
void runDrain(ctl_context &Context, const ctl_options &Options,
              const finish &Done);
void runStatus(ctl_context &Context, const ctl_options &Options,
               const finish &Done);
void runTimeline(ctl_context &Context, const ctl_options &Options,
                 const finish &Done);
void runValidate(ctl_context &Context, const ctl_options &Options,
                 const finish &Done);

std::string toText(const object_key &Key);

/// Writes the line "marjoramctl: STEP PEER: REASON".
void printFailure(ctl_context &Context, const failure &Failure);

/// The exit code for a reply that is not Ok, told in one line.
exit_code printReplyFailure(ctl_context &Context, step Step,
                            const object_key &Key, const platform_reply &Reply);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_VERB_H
