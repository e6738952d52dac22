#include "marjoramrail/directory.h"
#include "wire/byte_order.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace marjoramrail {

/// The encoded registration request: u16 magic | u8 format | u8 length of the
/// name | name | entry as JSON
static constexpr std::uint16_t RegistrationMagic = 0x4d41;
static constexpr std::uint8_t RegistrationFormat = 1;
static constexpr std::size_t RegistrationHeaderBytes = 4;
static constexpr std::size_t MaxNameBytes = 128;

service_id serviceNumber(std::string_view Name) {
  return service_id(
      static_cast<std::uint32_t>(XXH3_64bits(Name.data(), Name.size())));
}

std::string encodeTarget(const target_entry &Target) {
  nlohmann::json Entry = {{"service", Target.Service},
                          {"agent", toText(Target.Agent)},
                          {"zone", Target.Zone},
                          {"slots", Target.Slots},
                          {"draining", Target.Draining}};
  if (Target.ByPeer)
    Entry["by_peer"] = true;
  return Entry.dump();
}

result<target_entry> decodeTarget(const std::string &Name,
                                  const std::string &Body) {
  BOOST_LEAF_AUTO(Reader,
                  settings_reader::fromText(Body, Name, step::ValidateObject));
  constexpr std::int64_t MaxSlots = 1'000'000;
  target_entry Target;
  Target.Name = Name;
  Target.Service = Reader.text("service");
  Target.Agent = Reader.address("agent");
  Target.Zone = Reader.text("zone");
  Target.Slots =
      static_cast<std::uint32_t>(Reader.number("slots", 1, 1, MaxSlots));
  Target.Draining = Reader.flag("draining", false);
  Target.ByPeer = Reader.flag("by_peer", false);
  if (auto Finished = Reader.finish(); !Finished)
    return Finished.error();
  return Target;
}

std::vector<std::uint8_t>
encodeRegistrationRequest(const target_entry &Target) {
  const std::string Name = Target.Name.substr(0, MaxNameBytes);
  const std::string Body = encodeTarget(Target);
  std::vector<std::uint8_t> Bytes(RegistrationHeaderBytes);
  internal::byte_writer Writer(Bytes.data());
  Writer.put(RegistrationMagic);
  Writer.put(RegistrationFormat);
  Writer.put(static_cast<std::uint8_t>(Name.size()));
  Bytes.insert(Bytes.end(), Name.begin(), Name.end());
  Bytes.insert(Bytes.end(), Body.begin(), Body.end());
  return Bytes;
}

bool isRegistrationRequest(std::span<const std::uint8_t> Bytes) {
  if (Bytes.size() < RegistrationHeaderBytes)
    return false;
  internal::byte_reader Reader(Bytes.data());
  return Reader.take<std::uint16_t>() == RegistrationMagic &&
         Reader.take<std::uint8_t>() == RegistrationFormat;
}

result<target_entry>
decodeRegistrationRequest(std::span<const std::uint8_t> Bytes) {
  if (!isRegistrationRequest(Bytes))
    return fail(step::DecodeMessage, "", "not a registration request");
  const std::size_t NameBytes = Bytes[RegistrationHeaderBytes - 1];
  const auto Text = Bytes.subspan(RegistrationHeaderBytes);
  if (NameBytes == 0 || NameBytes > std::min(Text.size(), MaxNameBytes))
    return fail(step::DecodeMessage, "",
                "the registration request has no valid name");
  const auto Middle = Text.begin() + static_cast<std::ptrdiff_t>(NameBytes);
  return decodeTarget({Text.begin(), Middle}, {Middle, Text.end()});
}

} // namespace marjoramrail
