//===- http_connection.h - One connection to a server of the platform -*- C++
//-*-===//
///
/// \file
/// Carries one call at a time over one HTTP/1.1 connection that is kept open.
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
  /// An answer, or how it was lost. May come from within send().
  using done_hook =
      std::function<void(std::optional<http_answer>, call_failure Failure)>;

  http_connection(event_loop &Loop, std::size_t Server,
                  const endpoint &Address);
  /// Must not run from within the hook. A call under way is given up without
  /// its hook being called.
  ~http_connection();
  http_connection(const http_connection &) = delete;
  http_connection &operator=(const http_connection &) = delete;

  std::size_t server() const { return Server; }
  bool busy() const { return static_cast<bool>(Done); }

  const endpoint &address() const { return Address; }

  /// \p OnPart runs whenever a part of the answer's body has come.
  void send(const dialect_request &Request, std::function<void()> OnPart,
            done_hook Done);

  /// Bytes of the answer's body that have come.
  std::size_t received() const { return Body.size(); }

private:
  void appendBody(evhttp_request *Request);
  void finish(evhttp_request *Request);

  std::size_t Server;
  endpoint Address;
  evhttp_connection *Connection;
  std::function<void()> OnPart;
  done_hook Done;
  /// The answer's body, as far as it has come.
  std::string Body;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_PLATFORM_HTTP_CONNECTION_H
