//===- socket_error.h - Socket addresses and errno errors -------*- C++ -*-===//
///
/// \file
/// Turns errno and socket addresses into the project's own types.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_RUNTIME_SOCKET_ERROR_H
#define MARJORAMRAIL_RUNTIME_SOCKET_ERROR_H

#include "marjoramrail/base.h"

#include <netinet/in.h>

namespace marjoramrail::internal {

/// Starts an error that says what errno says.
boost::leaf::error_id failWithErrno(step Step, const endpoint &Peer);

sockaddr_in toSockaddr(const endpoint &Endpoint);
endpoint toEndpoint(const sockaddr_in &Address);

/// The local address of a socket.
endpoint localOf(int Socket);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_RUNTIME_SOCKET_ERROR_H
