//===- logging.h - Free-form logs of a daemon -------------------*- C++ -*-===//
///
/// \file
/// Starts glog. A library of its own because not every process uses it: the
/// forwarding processes write structured events only, and loading glog takes a
/// small VM longer than it takes to be without a balancer.
///
/// Usage:
/// \code
///   startLogging(argv[0]);
///   LOG(INFO) << "settings loaded";
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_LOGGING_H
#define MARJORAMRAIL_LOGGING_H

namespace marjoramrail {

/// Initializes glog for a daemon, with its output on standard error.
void startLogging(const char *Program);

} // namespace marjoramrail

#endif // MARJORAMRAIL_LOGGING_H
