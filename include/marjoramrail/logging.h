//===- logging.h - Free-form logs of a daemon -------------------*- C++ -*-===//
///
/// \file
/// Starts glog. This is a library of its own because the forwarding processes
/// write structured events only: on their small VMs each further shared library
/// delays a restart noticeably.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_LOGGING_H
#define MARJORAMRAIL_LOGGING_H

namespace marjoramrail {

/// Initializes glog for a daemon, with its output on standard error.
void startLogging(const char *Program);

} // namespace marjoramrail

#endif // MARJORAMRAIL_LOGGING_H
