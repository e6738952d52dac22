//===- command_line.h - Verbs, their flags and their help -------*- C++ -*-===//
///
/// \file
/// The table of verbs and the parser of the command line, which uses gflags.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_COMMAND_LINE_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_COMMAND_LINE_H

#include "verb.h"

namespace marjoramrail::ctl {

struct verb_entry {
  std::string_view Name;
  std::string_view Summary;
  /// The usage of the arguments after the verb, without the flags.
  std::string_view Arguments;
  std::string_view Help;
  /// Names of the flags that this verb accepts in addition to the common ones.
  std::vector<std::string_view> Flags;
  verb_function Run;
};

const std::vector<verb_entry> &verbs();
const verb_entry *findVerb(std::string_view Name);

std::string helpOf(const verb_entry &Verb);
std::string generalHelp();

/// A parsed command line.
struct command {
  const verb_entry *Verb = nullptr;
  ctl_options Options;
  std::vector<endpoint> Platform;
  duration Timeout = duration::zero();
  /// How long a verb is retried while the platform is unavailable. A retry is
  /// safe: nothing was written, or of several objects some were, which apply
  /// then leaves unchanged.
  duration Retry = duration::zero();
  /// If not empty, the help text to print instead of running the verb.
  std::string Help;
};

/// Parses the words after the program's name. A failure is a usage error.
result<command> readCommand(const std::vector<std::string> &Words);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_COMMAND_LINE_H
