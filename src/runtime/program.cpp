#include "marjoramrail/runtime.h"

#include <cstdlib>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>

DEFINE_string(settings, "", "Settings file (JSON with comments).");
DEFINE_bool(check_settings, false, "Check the settings and exit.");

namespace marjoramrail {

void startLogging(const char *Program) {
  // The VMs have no disks, so the log goes to standard error. The program that
  // starts this process stores it.
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Program);
}

std::string startProgram(int &Argc, char **&Argv, const std::string &Usage) {
  gflags::SetUsageMessage(Usage);
  gflags::ParseCommandLineFlags(&Argc, &Argv, /*remove_flags=*/true);
  startLogging(Argv[0]);
  if (FLAGS_settings.empty()) {
    std::cerr << "parse-settings: --settings=FILE is required; see --help\n";
    std::exit(2);
  }
  return FLAGS_settings;
}

bool onlyCheckSettings() { return FLAGS_check_settings; }

} // namespace marjoramrail
