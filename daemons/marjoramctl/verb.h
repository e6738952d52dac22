//===- verb.h - What the verbs of marjoramctl share -------------*- C++ -*-===//
///
/// \file
/// A verb is a function that calls the platform through platform_api, prints
/// lines through hooks and finishes once with an exit code. It can be tested
/// with a fake platform and without a network.
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
  /// The object or the file is invalid, or the object does not exist.
  Refused = 1,
  Usage = 2,
  /// Another version is stored; nothing was written.
  Conflict = 3,
  /// The platform could not be reached; nothing was written.
  Unavailable = 4,
  /// It could not be determined whether the change took effect.
  Unknown = 5,
};

/// The flags of all verbs; each verb's help lists those that it accepts.
struct ctl_options {
  std::vector<std::string> Arguments;
  std::optional<std::uint64_t> IfVersion;
  std::optional<std::uint64_t> Since;
  /// 0: no limit.
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
  bool Json = false;
  bool Watch = false;
  std::size_t Limit = 20;
};

/// Receives the body of a process's page, or the failure to get it.
using page_callback = std::function<void(const std::optional<std::string> &Body,
                                         const failure &Failure)>;

struct ctl_context {
  platform_api Platform;
  timer_service &Timers;
  /// Print one line to standard output and to standard error.
  std::function<void(const std::string &)> Out;
  std::function<void(const std::string &)> Err;
  std::function<result<std::string>(const std::string &Path)> ReadFile;
  std::function<void(const endpoint &Process, const std::string &Path,
                     page_callback)>
      FetchPage;
  /// Clears the terminal before a screen is printed again. Empty if standard
  /// output is not a terminal.
  std::function<void()> ClearScreen = {};
  /// Unique to this run, so that reading an object back shows whether this run
  /// wrote it.
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
void runEvacuate(ctl_context &Context, const ctl_options &Options,
                 const finish &Done);
void runEvacuations(ctl_context &Context, const ctl_options &Options,
                    const finish &Done);
void runLoad(ctl_context &Context, const ctl_options &Options,
             const finish &Done);
void runStatus(ctl_context &Context, const ctl_options &Options,
               const finish &Done);
void runTimeline(ctl_context &Context, const ctl_options &Options,
                 const finish &Done);
void runValidate(ctl_context &Context, const ctl_options &Options,
                 const finish &Done);

std::string toText(const object_key &Key);

/// Prints the line "marjoramctl: STEP PEER: REASON" to standard error.
void printFailure(ctl_context &Context, const failure &Failure);

/// Prints one line about a reply that is not Ok and returns its exit code.
exit_code printReplyFailure(ctl_context &Context, step Step,
                            const object_key &Key, const platform_reply &Reply);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_VERB_H
