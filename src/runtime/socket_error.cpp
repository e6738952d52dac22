#include "runtime/socket_error.h"

#include <arpa/inet.h>
#include <cerrno>
#include <sys/socket.h>
#include <system_error>

namespace marjoramrail::internal {

boost::leaf::error_id failWithErrno(step Step, const endpoint &Peer) {
  return fail(Step, toText(Peer),
              std::error_code(errno, std::generic_category()).message());
}

sockaddr_in toSockaddr(const endpoint &Endpoint) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(Endpoint.Address);
  Address.sin_port = htons(Endpoint.Port);
  return Address;
}

endpoint toEndpoint(const sockaddr_in &Address) {
  return {ntohl(Address.sin_addr.s_addr), ntohs(Address.sin_port)};
}

endpoint localOf(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return toEndpoint(Address);
}

} // namespace marjoramrail::internal
