#include "marjoramrail/wire.h"

#include <arpa/inet.h>
#include <cstring>
#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

namespace marjoramrail {

namespace {

/// The two headers of a packet, copied because the bytes of a datagram are not
/// aligned.
struct packet_headers {
  ip Ip;
  tcphdr Tcp;
  std::size_t PayloadBytes;
};

constexpr std::size_t WordBytes = 4;
constexpr int Ipv4Version = 4;

} // namespace

static packet_fault readIpHeader(bytes_view Bytes, ip &Header) {
  if (Bytes.size() < sizeof(ip))
    return packet_fault::Truncated;
  std::memcpy(&Header, Bytes.data(), sizeof(ip));
  if (Header.ip_v != Ipv4Version)
    return packet_fault::NotIpv4;
  if (Bytes.size() > MaxPacketBytes)
    return packet_fault::BadLength;
  const std::size_t Total = ntohs(Header.ip_len);
  if (Total > Bytes.size())
    return packet_fault::Truncated;
  if (Total < Bytes.size() || Header.ip_hl * WordBytes < sizeof(ip))
    return packet_fault::BadLength;
  // Only the first fragment contains the ports, so the others could not be
  // routed.
  if ((ntohs(Header.ip_off) & (IP_MF | IP_OFFMASK)) != 0)
    return packet_fault::Fragment;
  return Header.ip_p == IPPROTO_TCP ? packet_fault::None : packet_fault::NotTcp;
}

static packet_fault readHeaders(bytes_view Bytes, packet_headers &Headers) {
  const packet_fault Fault = readIpHeader(Bytes, Headers.Ip);
  if (Fault != packet_fault::None)
    return Fault;
  const std::size_t IpBytes = Headers.Ip.ip_hl * WordBytes;
  if (Bytes.size() < IpBytes + sizeof(tcphdr))
    return packet_fault::Truncated;
  std::memcpy(&Headers.Tcp, Bytes.data() + IpBytes, sizeof(tcphdr));
  const std::size_t TcpBytes = Headers.Tcp.th_off * WordBytes;
  if (TcpBytes < sizeof(tcphdr))
    return packet_fault::BadLength;
  if (Bytes.size() < IpBytes + TcpBytes)
    return packet_fault::Truncated;
  Headers.PayloadBytes = Bytes.size() - IpBytes - TcpBytes;
  return packet_fault::None;
}

static void fill(const packet_headers &Headers, tcp_packet &Packet) {
  const tcphdr &Tcp = Headers.Tcp;
  Packet.Flow.Caller = {ntohl(Headers.Ip.ip_src.s_addr), ntohs(Tcp.th_sport)};
  Packet.Flow.Service = {ntohl(Headers.Ip.ip_dst.s_addr), ntohs(Tcp.th_dport)};
  Packet.Sequence = ntohl(Tcp.th_seq);
  Packet.Acknowledged = ntohl(Tcp.th_ack);
  Packet.Syn = (Tcp.th_flags & TH_SYN) != 0;
  Packet.Ack = (Tcp.th_flags & TH_ACK) != 0;
  Packet.Fin = (Tcp.th_flags & TH_FIN) != 0;
  Packet.Rst = (Tcp.th_flags & TH_RST) != 0;
  Packet.Payload = static_cast<std::uint16_t>(Headers.PayloadBytes);
}

packet_fault parseTcpPacket(bytes_view Bytes, tcp_packet &Packet) {
  packet_headers Headers;
  const packet_fault Fault = readHeaders(Bytes, Headers);
  if (Fault == packet_fault::None)
    fill(Headers, Packet);
  return Fault;
}

packet_fault parseReturnPacket(bytes_view Bytes, tcp_packet &Packet) {
  const packet_fault Fault = parseTcpPacket(Bytes, Packet);
  if (Fault == packet_fault::None)
    std::swap(Packet.Flow.Caller, Packet.Flow.Service);
  return Fault;
}

//===----------------------------------------------------------------------===//
// Resets
//===----------------------------------------------------------------------===//

/// Returns the sum of 16-bit words for the checksum of RFC 1071, not yet folded
/// to 16 bits.
static std::uint32_t sumWords(const void *Data, std::size_t Size) {
  const auto *Bytes = static_cast<const std::uint8_t *>(Data);
  std::uint32_t Sum = 0;
  for (std::size_t I = 0; I + 1 < Size; I += 2)
    Sum += std::uint32_t(Bytes[I]) << 8 | Bytes[I + 1];
  return Sum;
}

static std::uint16_t checksumOf(std::uint32_t Sum) {
  while (Sum >> 16)
    Sum = (Sum & 0xffff) + (Sum >> 16);
  return htons(static_cast<std::uint16_t>(~Sum));
}

static tcphdr resetHeader(const tcp_packet &Packet) {
  tcphdr Tcp{};
  Tcp.th_sport = htons(Packet.Flow.Service.Port);
  Tcp.th_dport = htons(Packet.Flow.Caller.Port);
  Tcp.th_off = sizeof(tcphdr) / WordBytes;
  Tcp.th_flags = TH_RST;
  if (Packet.Ack) {
    Tcp.th_seq = htonl(Packet.Acknowledged);
    return Tcp;
  }
  const std::uint32_t Length =
      std::uint32_t(Packet.Payload) + Packet.Syn + Packet.Fin;
  Tcp.th_ack = htonl(Packet.Sequence + Length);
  Tcp.th_flags |= TH_ACK;
  return Tcp;
}

static ip resetIpHeader(const flow_key &Flow) {
  constexpr std::uint8_t TimeToLive = 64;
  ip Header{};
  Header.ip_v = Ipv4Version;
  Header.ip_hl = sizeof(ip) / WordBytes;
  Header.ip_len = htons(sizeof(ip) + sizeof(tcphdr));
  Header.ip_off = htons(IP_DF);
  Header.ip_ttl = TimeToLive;
  Header.ip_p = IPPROTO_TCP;
  Header.ip_src.s_addr = htonl(Flow.Service.Address);
  Header.ip_dst.s_addr = htonl(Flow.Caller.Address);
  Header.ip_sum = checksumOf(sumWords(&Header, sizeof(Header)));
  return Header;
}

std::size_t writeReset(const tcp_packet &Packet,
                       std::span<std::uint8_t> Buffer) {
  constexpr std::size_t Size = sizeof(ip) + sizeof(tcphdr);
  if (Packet.Rst || Buffer.size() < Size)
    return 0;
  const ip Header = resetIpHeader(Packet.Flow);
  tcphdr Tcp = resetHeader(Packet);
  // The TCP checksum includes the pseudo-header of RFC 9293, 3.1: addresses,
  // protocol and TCP length.
  const std::uint32_t Pseudo = sumWords(&Header.ip_src, sizeof(in_addr) * 2) +
                               IPPROTO_TCP + sizeof(tcphdr);
  Tcp.th_sum = checksumOf(Pseudo + sumWords(&Tcp, sizeof(Tcp)));
  std::memcpy(Buffer.data(), &Header, sizeof(Header));
  std::memcpy(Buffer.data() + sizeof(Header), &Tcp, sizeof(Tcp));
  return Size;
}

} // namespace marjoramrail
