#include "marjoramrail/runtime.h"

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "Settings file (JSON with comments).");
DEFINE_bool(check_settings, false, "Check the settings and exit.");

namespace marjoramrail {

std::string startProgram(int &Argc, char **&Argv, const std::string &Usage) {
  gflags::SetUsageMessage(Usage);
  gflags::ParseCommandLineFlags(&Argc, &Argv, /*remove_flags=*/true);
  if (FLAGS_settings.empty()) {
    std::cerr << "parse-settings: --settings=FILE is required; see --help\n";
    std::exit(2);
  }
  return FLAGS_settings;
}

bool onlyCheckSettings() { return FLAGS_check_settings; }

} // namespace marjoramrail
