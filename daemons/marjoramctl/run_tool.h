//===- run_tool.h - The operators' tool, for any platform -------*- C++ -*-===//
///
/// \file
/// Parses the command line, connects a verb to the platform and prints its
/// output.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_RUN_TOOL_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_RUN_TOOL_H

#include "marjoramrail/platform.h"

namespace marjoramrail::ctl {

/// Runs marjoramctl and returns the exit code of the process; see exit_code.
int runTool(int Argc, char **Argv, const platform_dialect &Dialect);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_RUN_TOOL_H
