//===- http_connection.h - Connection to a platform server ------*- C++ -*-===//
///
/// \file
/// An HTTP/1.1 connection that is kept open and carries one call at a time.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_PLATFORM_HTTP_CONNECTION_H
#define MARJORAMRAIL_PLATFORM_HTTP_CONNECTION_H

#include "platform/call.h"

#include <functional>
#include <memory>
#include <optional>

struct evhttp_connection;
struct evhttp_request;

namespace marjoramrail::internal {

class http_connection {
public:
  /// Receives the response, or the kind of failure. May run from within send().
  using done_hook =
      std::function<void(std::optional<http_answer>, call_failure Failure)>;

  http_connection(event_loop &Loop, std::size_t Server,
                  const endpoint &Address);
  /// Must not be called from within the hook. A pending call is aborted without
  /// calling its hook.
  ~http_connection();
  http_connection(const http_connection &) = delete;
  http_connection &operator=(const http_connection &) = delete;

  std::size_t server() const { return Server; }
  bool busy() const { return static_cast<bool>(Done); }

  const endpoint &address() const { return Address; }

  /// Sends \p Request. \p OnPart runs whenever a part of the response body has
  /// been received.
  void send(const dialect_request &Request, std::function<void()> OnPart,
            done_hook Done);

  /// Bytes of the response body received so far.
  std::size_t received() const { return Body.size(); }

private:
  void appendBody(evhttp_request *Request);
  void finish(evhttp_request *Request);

  std::size_t Server;
  endpoint Address;
  evhttp_connection *Connection;
  std::function<void()> OnPart;
  done_hook Done;
  /// The response body as far as it has been received.
  std::string Body;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_PLATFORM_HTTP_CONNECTION_H
