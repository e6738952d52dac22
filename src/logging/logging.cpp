#include "marjoramrail/logging.h"

#include <glog/logging.h>

namespace marjoramrail {

void startLogging(const char *Program) {
  // The VMs have no disks, so the log goes to standard error. The program that
  // starts this process stores it.
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Program);
}

} // namespace marjoramrail
