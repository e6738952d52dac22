#include "directory/address_list.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using json = nlohmann::json;

json encodeAddresses(std::vector<endpoint> Addresses) {
  std::sort(Addresses.begin(), Addresses.end(),
            [](const endpoint &A, const endpoint &B) {
              return std::tie(A.Port, A.Address) < std::tie(B.Port, B.Address);
            });
  json Ports = json::object();
  json *List = nullptr;
  endpoint Last;
  for (const endpoint &Address : Addresses) {
    if (!List || Address.Port != Last.Port) {
      List = &(Ports[std::to_string(Address.Port)] = json::array());
      Last.Address = 0;
    }
    List->push_back(Address.Address - Last.Address);
    Last = Address;
  }
  return Ports;
}

static std::optional<std::uint16_t> portOf(const std::string &Text) {
  std::uint16_t Port = 0;
  const char *TextEnd = Text.data() + Text.size();
  const auto [End, Error] = std::from_chars(Text.data(), TextEnd, Port);
  if (Error != std::errc() || End != TextEnd)
    return std::nullopt;
  return Port;
}

std::optional<std::vector<endpoint>> decodeAddresses(const json &Json) {
  if (!Json.is_object())
    return std::nullopt;
  std::vector<endpoint> Addresses;
  for (const auto &[Text, Gaps] : Json.items()) {
    const auto Port = portOf(Text);
    if (!Port || !Gaps.is_array())
      return std::nullopt;
    std::uint64_t Address = 0;
    for (const json &Gap : Gaps) {
      if (!Gap.is_number_unsigned() || Gap.get<std::uint64_t>() > UINT32_MAX)
        return std::nullopt;
      Address += Gap.get<std::uint64_t>();
      if (Address > UINT32_MAX)
        return std::nullopt;
      Addresses.push_back({static_cast<std::uint32_t>(Address), *Port});
    }
  }
  return Addresses;
}

} // namespace marjoramrail::internal
