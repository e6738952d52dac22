#include "allow_list.h"

#include <algorithm>
#include <charconv>

namespace marjoramrail::daemons {

static constexpr unsigned AddressBits = 32;

static result<unsigned> parsePrefix(const std::string &Text,
                                    std::string_view Digits) {
  unsigned Bits = 0;
  const char *End = Digits.data() + Digits.size();
  const auto [Stop, Error] = std::from_chars(Digits.data(), End, Bits);
  if (Error != std::errc() || Stop != End || Bits > AddressBits)
    return fail(step::ParseAddress, Text, "expected a prefix from 0 to 32");
  return Bits;
}

static std::uint32_t maskOf(unsigned Bits) {
  return Bits == 0 ? 0 : ~std::uint32_t(0) << (AddressBits - Bits);
}

result<allow_list> allow_list::parse(const std::vector<std::string> &Networks) {
  allow_list List;
  for (const std::string &Text : Networks) {
    const std::size_t Slash = std::min(Text.find('/'), Text.size());
    BOOST_LEAF_AUTO(Host, parseEndpoint(Text.substr(0, Slash) + ":0"));
    unsigned Bits = AddressBits;
    if (Slash < Text.size()) {
      BOOST_LEAF_ASSIGN(
          Bits, parsePrefix(Text, std::string_view(Text).substr(Slash + 1)));
    }
    List.Networks.push_back({Host.Address & maskOf(Bits), maskOf(Bits)});
  }
  return List;
}

bool allow_list::allows(const endpoint &Peer) const {
  return std::any_of(Networks.begin(), Networks.end(),
                     [&](const network &Network) {
                       return (Peer.Address & Network.Mask) == Network.Address;
                     });
}

} // namespace marjoramrail::daemons
