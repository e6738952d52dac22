#include "marjoramrail/base.h"

#include <arpa/inet.h>
#include <charconv>
#include <xxhash.h>

namespace marjoramrail {

static std::string dotted(std::uint32_t Address) {
  in_addr Raw{};
  Raw.s_addr = htonl(Address);
  std::array<char, INET_ADDRSTRLEN> Text{};
  inet_ntop(AF_INET, &Raw, Text.data(), Text.size());
  return Text.data();
}

result<endpoint> parseEndpoint(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return fail(step::ParseAddress, std::string(Text), "expected ADDRESS:PORT");
  const std::string Host(Text.substr(0, Colon));
  in_addr Raw{};
  if (inet_pton(AF_INET, Host.c_str(), &Raw) != 1)
    return fail(step::ParseAddress, std::string(Text),
                "expected an IPv4 address before the colon");
  const std::string_view Digits = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const auto [End, Error] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  if (Error != std::errc() || End != Digits.data() + Digits.size())
    return fail(step::ParseAddress, std::string(Text),
                "expected a port from 0 to 65535");
  return endpoint{ntohl(Raw.s_addr), Port};
}

std::string toText(const endpoint &Endpoint) {
  return dotted(Endpoint.Address) + ":" + std::to_string(Endpoint.Port);
}

std::string toText(const flow_key &Flow) {
  return toText(Flow.Caller) + ">" + toText(Flow.Service);
}

std::uint64_t hashOf(const flow_key &Flow, std::uint64_t Seed) {
  const std::array<std::uint32_t, 3> Words = {
      Flow.Caller.Address, Flow.Service.Address,
      (std::uint32_t(Flow.Caller.Port) << 16) | Flow.Service.Port};
  return XXH3_64bits_withSeed(Words.data(), sizeof(Words), Seed);
}

} // namespace marjoramrail
