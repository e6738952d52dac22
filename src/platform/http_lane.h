//===- http_lane.h - One connection to a server of the platform -*- C++ -*-===//
///
/// \file
/// Carries one call at a time over one HTTP/1.1 connection that is kept open.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_PLATFORM_HTTP_LANE_H
#define MARJORAMRAIL_PLATFORM_HTTP_LANE_H

#include "platform/call.h"

#include <functional>
#include <memory>
#include <optional>

struct evhttp_connection;
struct evhttp_request;

namespace marjoramrail::internal {

class http_lane {
public:
  /// An answer, or how it was lost. May come from within carry().
  using done_hook =
      std::function<void(std::optional<http_answer>, call_loss Loss)>;

  http_lane(event_loop &Loop, std::size_t Server, const endpoint &Address);
  /// Must not run from within the hook. A call under way is given up without
  /// its hook being called.
  ~http_lane();
  http_lane(const http_lane &) = delete;
  http_lane &operator=(const http_lane &) = delete;

  std::size_t server() const { return Server; }
  bool busy() const { return static_cast<bool>(Done); }

  const endpoint &address() const { return Address; }

  /// \p OnPart runs whenever a part of the answer's body has come.
  void carry(const dialect_request &Request, std::function<void()> OnPart,
             done_hook Done);

  /// Bytes of the answer's body that have come.
  std::size_t received() const { return Body.size(); }

private:
  void gather(evhttp_request *Request);
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

#endif // MARJORAMRAIL_PLATFORM_HTTP_LANE_H
