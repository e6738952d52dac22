//===- http_server.h - HTTP server of the platform stand-in -----*- C++ -*-===//
///
/// \file
/// Serves a platform_core with libevhtp: passes HTTP requests to it, keeps
/// watches open until they have an answer, and delays requests by the
/// configured fault.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_PLATFORM_HTTP_SERVER_H
#define MARJORAMRAIL_STANDINS_PLATFORM_HTTP_SERVER_H

#include "platform_core.h"

#include <memory>

namespace marjoramrail::standins {

/// The HTTP server of the platform stand-in.
class http_server {
public:
  http_server(event_loop &Loop, platform_core &Core);
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Binds to \p Local; port 0 picks one. Fails with step::OpenSocket.
  result<void> open(const endpoint &Local);
  endpoint local() const;

  /// Answers the waiting watches and stops accepting connections.
  void close();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_PLATFORM_HTTP_SERVER_H
