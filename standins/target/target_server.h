//===- target_server.h - HTTP/2 server of a target stand-in -----*- C++ -*-===//
///
/// \file
/// Serves, over cleartext HTTP/2 with prior knowledge:
///
///   POST /work          runs for x-work-ms in a slot; answers the host's name
///   GET  /document/N    N bytes, after x-work-ms in a slot
///   GET  /stream        one line every x-interval-ms until the stream closes
///   GET  /load          {"slots":4,"busy":1,"waiting":0}, may be late or wrong
///   POST /fault/slow/P  work takes P percent of its time from now on
///
/// and records each request that ran, for the audit of the experiment.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_TARGET_SERVER_H
#define MARJORAMRAIL_STANDINS_TARGET_SERVER_H

#include "marjoramrail/h2.h"
#include "marjoramrail/runtime.h"
#include "run_record.h"
#include "target_model.h"

#include <list>

namespace marjoramrail::standins {

/// Accepts connections of the agent and passes requests to the model.
class target_server {
public:
  target_server(event_loop &Loop, std::string Host, target_model &Model,
                run_record &Record);
  ~target_server();

  result<void> open(const endpoint &Local);

private:
  class connection;

  event_loop &Loop;
  std::string Host;
  target_model &Model;
  run_record &Record;
  tcp_listener Listener;
  std::list<std::unique_ptr<connection>> Connections;
  std::uint64_t LastRequest = 0;
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_TARGET_SERVER_H
