//===- socket_error.h - Socket addresses and errno errors -------*- C++ -*-===//
///
/// \file
/// Converts errno to failures, and endpoints to and from socket addresses.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_RUNTIME_SOCKET_ERROR_H
#define MARJORAMRAIL_RUNTIME_SOCKET_ERROR_H

#include "marjoramrail/base.h"

#include <netinet/in.h>

namespace marjoramrail::internal {

/// Creates an error whose reason is the text for errno.
boost::leaf::error_id failWithErrno(step Step, const endpoint &Peer);

sockaddr_in toSockaddr(const endpoint &Endpoint);
endpoint toEndpoint(const sockaddr_in &Address);

/// Returns the local address of \p Socket.
endpoint localOf(int Socket);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_RUNTIME_SOCKET_ERROR_H
