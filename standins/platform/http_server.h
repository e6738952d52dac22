//===- http_server.h - The platform stand-in over libevhtp ------*- C++ -*-===//
///
/// \file
/// Takes HTTP requests to a platform_core, lets watches wait and delays what
/// the faults say should be late.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_PLATFORM_HTTP_SERVER_H
#define MARJORAMRAIL_STANDINS_PLATFORM_HTTP_SERVER_H

#include "platform_core.h"

#include <memory>

namespace marjoramrail::standins {

class http_server {
public:
  http_server(event_loop &Loop, platform_core &Core);
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Binds to \p Local; port 0 picks one. Fails with step::OpenSocket.
  result<void> open(const endpoint &Local);
  endpoint local() const;

  /// Answers what waits and takes no more connections.
  void close();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_PLATFORM_HTTP_SERVER_H
