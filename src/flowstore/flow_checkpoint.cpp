#include "marjoramrail/flowstore.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace marjoramrail {

using json = nlohmann::json;

/// A flow is stored as hexadecimal digits: the caller's address, its port, and
/// the number that it acknowledged last.
static constexpr std::size_t AddressDigits = 8;
static constexpr std::size_t PortDigits = 4;
static constexpr std::size_t NumberDigits = 8;
static constexpr std::size_t FlowDigits =
    AddressDigits + PortDigits + NumberDigits;

object_key checkpointKey(const std::string &Zone) {
  return {CheckpointKind, "zone." + Zone};
}

static void addDigits(std::string &Text, std::uint32_t Value,
                      std::size_t Digits) {
  static constexpr const char *Hex = "0123456789abcdef";
  static constexpr std::size_t BitsPerDigit = 4;
  for (std::size_t Left = Digits; Left > 0; --Left)
    Text += Hex[Value >> ((Left - 1) * BitsPerDigit) & 0xf];
}

/// Groups the flows by the service's address, with one string of digits for
/// each. Most targets have only one or two service addresses, while callers
/// differ.
static json encodeByAddress(const std::vector<open_flow> &Flows) {
  std::map<std::string, std::string> ByAddress;
  for (const open_flow &Open : Flows) {
    std::string &Digits = ByAddress[toText(Open.Flow.Service)];
    addDigits(Digits, Open.Flow.Caller.Address, AddressDigits);
    addDigits(Digits, Open.Flow.Caller.Port, PortDigits);
    addDigits(Digits, Open.Acknowledged, NumberDigits);
  }
  return ByAddress;
}

std::string encodeCheckpoint(const zone_checkpoint &Zone) {
  json Targets = json::object();
  for (const auto &[Name, Checkpoint] : Zone)
    Targets[Name] = {{"run", Checkpoint.Run.Id},
                     {"born", Checkpoint.Run.Born},
                     {"sequence", Checkpoint.Sequence},
                     {"flows", encodeByAddress(Checkpoint.Flows)}};
  return json{{"targets", Targets}}.dump();
}

/// Removes \p Digits digits from the front of \p Text and returns their value.
static std::optional<std::uint32_t> takeDigits(std::string_view &Text,
                                               std::size_t Digits) {
  static constexpr int Hexadecimal = 16;
  std::uint32_t Value = 0;
  const char *End = Text.data() + Digits;
  const auto Read = std::from_chars(Text.data(), End, Value, Hexadecimal);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  Text.remove_prefix(Digits);
  return Value;
}

static result<void> decodeDigits(const object_key &Key, const endpoint &Service,
                                 std::string_view Text,
                                 std::vector<open_flow> &Flows) {
  if (Text.size() % FlowDigits != 0)
    return fail(step::ValidateObject, Key.Name,
                "flow checkpoint: truncated flow");
  while (!Text.empty()) {
    const auto Address = takeDigits(Text, AddressDigits);
    const auto Port = Address ? takeDigits(Text, PortDigits) : std::nullopt;
    const auto Number = Port ? takeDigits(Text, NumberDigits) : std::nullopt;
    if (!Number)
      return fail(step::ValidateObject, Key.Name,
                  "flow checkpoint: invalid digits in a flow");
    const endpoint Caller{*Address, static_cast<std::uint16_t>(*Port)};
    Flows.push_back({{Caller, Service}, *Number});
  }
  return {};
}

static result<flow_checkpoint> decodeTarget(const object_key &Key,
                                            const json &Item) {
  if (!Item.is_object() || !Item.contains("run") || !Item["run"].is_string() ||
      !Item.contains("born") || !Item["born"].is_number_integer() ||
      !Item.contains("flows") || !Item["flows"].is_object())
    return fail(step::ValidateObject, Key.Name,
                "flow checkpoint: invalid entry of a target");
  flow_checkpoint Checkpoint;
  Checkpoint.Run = {Item["run"].get<std::string>(),
                    Item["born"].get<std::int64_t>()};
  // Earlier versions do not write the number.
  if (const auto Sequence = Item.find("sequence");
      Sequence != Item.end() && Sequence->is_number_unsigned())
    Checkpoint.Sequence = Sequence->get<std::uint64_t>();
  for (const auto &[Address, Digits] : Item["flows"].items()) {
    const auto Service = parseEndpoint(Address);
    if (!Service || !Digits.is_string())
      return fail(step::ValidateObject, Key.Name,
                  "flow checkpoint: invalid service address");
    BOOST_LEAF_CHECK(decodeDigits(Key, *Service,
                                  Digits.get_ref<const std::string &>(),
                                  Checkpoint.Flows));
  }
  return Checkpoint;
}

result<zone_checkpoint> decodeCheckpoint(const object_key &Key,
                                         const std::string &Body) {
  const json Json = json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (!Json.is_object() || !Json.contains("targets") ||
      !Json["targets"].is_object())
    return fail(step::ValidateObject, Key.Name,
                "flow checkpoint: no targets object");
  zone_checkpoint Zone;
  for (const auto &[Name, Item] : Json["targets"].items()) {
    BOOST_LEAF_AUTO(Checkpoint, decodeTarget(Key, Item));
    Zone[Name] = std::move(Checkpoint);
  }
  return Zone;
}

} // namespace marjoramrail
