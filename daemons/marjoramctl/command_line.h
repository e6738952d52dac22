//===- command_line.h - Verbs, their flags and their help -------*- C++ -*-===//
///
/// \file
/// The table of verbs, and reading of the command line by gflags.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_COMMAND_LINE_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_COMMAND_LINE_H

#include "verb.h"

namespace marjoramrail::ctl {

struct verb_entry {
  std::string_view Name;
  std::string_view Summary;
  /// What stands after the verb, flags aside.
  std::string_view Arguments;
  std::string_view Help;
  /// Names of the flags that this verb takes besides the common ones.
  std::vector<std::string_view> Flags;
  verb_function Run;
};

const std::vector<verb_entry> &verbs();
const verb_entry *findVerb(std::string_view Name);

std::string helpOf(const verb_entry &Verb);
std::string generalHelp();

/// One command read from the command line.
struct command {
  const verb_entry *Verb = nullptr;
  ctl_options Options;
  std::vector<endpoint> Platform;
  duration Timeout = duration::zero();
  /// How long a verb is run again while the platform is unavailable. Nothing
  /// was done then, or of several objects some stand, which apply leaves alone.
  duration Retry = duration::zero();
  /// Text to print instead of running: the help that was asked for.
  std::string Help;
};

/// Reads the words after the program's name. The failure is a usage error.
result<command> readCommand(const std::vector<std::string> &Words);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_COMMAND_LINE_H
