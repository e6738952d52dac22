#include "bench/balancer/packet_source.h"

#include <array>
#include <cstring>
#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marjoramrail::bench {

static sockaddr_in addressOf(const endpoint &Endpoint) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(Endpoint.Address);
  Address.sin_port = htons(Endpoint.Port);
  return Address;
}

std::vector<std::uint8_t> callerPacket(const endpoint &Service,
                                       std::uint32_t Number, bool Syn,
                                       std::size_t Payload) {
  constexpr std::uint32_t PortsPerCaller = 50000;
  constexpr std::uint32_t FirstCaller = 0x0a090000;
  ip Ip{};
  Ip.ip_v = 4;
  Ip.ip_hl = 5;
  Ip.ip_len =
      htons(static_cast<std::uint16_t>(sizeof(ip) + sizeof(tcphdr) + Payload));
  Ip.ip_p = IPPROTO_TCP;
  Ip.ip_src.s_addr = htonl(FirstCaller + Number / PortsPerCaller);
  Ip.ip_dst.s_addr = htonl(Service.Address);
  tcphdr Tcp{};
  Tcp.th_sport =
      htons(static_cast<std::uint16_t>(10000 + Number % PortsPerCaller));
  Tcp.th_dport = htons(Service.Port);
  Tcp.th_off = 5;
  Tcp.th_flags = Syn ? TH_SYN : TH_ACK;
  std::vector<std::uint8_t> Bytes(sizeof(ip) + sizeof(tcphdr) + Payload);
  std::memcpy(Bytes.data(), &Ip, sizeof(Ip));
  std::memcpy(Bytes.data() + sizeof(Ip), &Tcp, sizeof(Tcp));
  return Bytes;
}

discard_socket::discard_socket()
    : Socket(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
  const sockaddr_in Any = addressOf({0x7f000001, 0});
  static_cast<void>(
      bind(Socket, reinterpret_cast<const sockaddr *>(&Any), sizeof(Any)));
}

discard_socket::~discard_socket() { close(Socket); }

endpoint discard_socket::local() const {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return {ntohl(Address.sin_addr.s_addr), ntohs(Address.sin_port)};
}

packet_source::packet_source(const endpoint &To,
                             std::vector<std::vector<std::uint8_t>> Packets)
    : Socket(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)),
      Packets(std::move(Packets)) {
  const sockaddr_in Address = addressOf(To);
  static_cast<void>(connect(
      Socket, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address)));
  Thread = std::thread([this] { run(); });
}

packet_source::~packet_source() {
  Stopped = true;
  Thread.join();
  close(Socket);
}

void packet_source::run() {
  constexpr std::size_t BatchSize = 64;
  std::array<mmsghdr, BatchSize> Headers{};
  std::array<iovec, BatchSize> Vectors{};
  std::size_t Next = 0;
  while (!Stopped) {
    for (std::size_t I = 0; I < BatchSize; ++I) {
      std::vector<std::uint8_t> &Packet = Packets[Next++ % Packets.size()];
      Vectors[I] = {Packet.data(), Packet.size()};
      Headers[I].msg_hdr.msg_iov = &Vectors[I];
      Headers[I].msg_hdr.msg_iovlen = 1;
    }
    sendmmsg(Socket, Headers.data(), BatchSize, 0);
  }
}

} // namespace marjoramrail::bench
