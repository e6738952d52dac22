#include "marjoramrail/runtime.h"

#include "runtime/field_lines.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace marjoramrail {

using json = nlohmann::json;

struct settings_reader::impl {
  std::string File;
  step Step = step::ParseSettings;
  /// The path of this object in the file, such as "services[1].".
  std::string Prefix;
  json Object;
  std::set<std::string> Known;
  /// Shared with the readers of nested objects, so that finish() of the
  /// outermost one reports every error of the file.
  std::shared_ptr<std::vector<std::string>> Faults;
  /// The line numbers of the file, also shared with nested readers.
  std::shared_ptr<internal::field_lines> Lines;

  void fault(const std::string &Field, const std::string &Reason) const {
    const auto Line = Lines->lineOf(Prefix + Field);
    const std::string Where =
        Line ? "line " + std::to_string(*Line) + ": " : "";
    Faults->push_back(Where + "field " + Prefix + Field + ": " + Reason);
  }

  void refuseRepeated() const {
    for (const internal::repeated_field &Again : Lines->repeated())
      Faults->push_back("line " + std::to_string(Again.Line) + ": field " +
                        Again.Field + ": was given before, on line " +
                        std::to_string(Again.FirstLine));
  }

  /// Returns the value of a field, or null if it is missing. If it is required,
  /// an error is added.
  const json *find(const std::string &Field, bool Required) {
    Known.insert(Field);
    const auto Found = Object.find(Field);
    if (Found != Object.end())
      return &*Found;
    if (Required)
      fault(Field, "is required");
    return nullptr;
  }
};

settings_reader::settings_reader(std::unique_ptr<impl> State)
    : Impl(std::move(State)) {}
settings_reader::settings_reader(settings_reader &&) noexcept = default;
settings_reader::~settings_reader() = default;

result<settings_reader> settings_reader::fromFile(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    return fail(step::ParseSettings, Path, "the file cannot be read");
  std::ostringstream Text;
  Text << In.rdbuf();
  return fromText(Text.str(), Path);
}

static std::string lineAt(std::string_view Text, std::size_t Byte) {
  const auto End =
      Text.begin() + static_cast<std::ptrdiff_t>(std::min(Byte, Text.size()));
  return std::to_string(1 + std::count(Text.begin(), End, '\n'));
}

result<void> parseJson(std::string_view Text, const std::string &Peer,
                       step Step, json &Into) {
  bool TooDeep = false;
  const auto KeepShallow = [&](int Depth, json::parse_event_t, json &) {
    TooDeep |= Depth > MaxJsonDepth;
    return Depth <= MaxJsonDepth;
  };
  try {
    Into = json::parse(Text, KeepShallow, true, /*ignore_comments=*/true);
  } catch (const json::parse_error &Error) {
    return fail(Step, Peer, "line " + lineAt(Text, Error.byte) + ": not JSON");
  } catch (const json::out_of_range &) {
    // nlohmann::json throws this for a number such as 1e999, instead of a
    // parse_error. Uncaught, it would end the process.
    return fail(Step, Peer, "a number is too large for JSON");
  }
  if (TooDeep)
    return fail(Step, Peer,
                "nested deeper than " + std::to_string(MaxJsonDepth));
  return {};
}

result<settings_reader> settings_reader::fromText(std::string_view Text,
                                                  std::string File, step Step) {
  auto State = std::make_unique<impl>();
  State->Step = Step;
  State->File = std::move(File);
  State->Faults = std::make_shared<std::vector<std::string>>();
  if (auto Parsed = parseJson(Text, State->File, Step, State->Object); !Parsed)
    return Parsed.error();
  if (!State->Object.is_object())
    return fail(Step, State->File, "expected an object");
  // Only settings files, which are edited by hand, are checked for repeated
  // fields. Objects of the store are written by programs, which do not repeat
  // fields, and are read in thousands, so the second parse would cost too much.
  State->Lines = Step == step::ParseSettings
                     ? std::make_shared<internal::field_lines>(Text)
                     : std::make_shared<internal::field_lines>();
  State->refuseRepeated();
  return settings_reader(std::move(State));
}

std::int64_t settings_reader::number(const std::string &Field,
                                     std::optional<std::int64_t> Default,
                                     std::int64_t Low, std::int64_t High) {
  const json *Value = Impl->find(Field, !Default);
  if (!Value)
    return Default.value_or(Low);
  const std::string Range = "a whole number from " + std::to_string(Low) +
                            " to " + std::to_string(High);
  if (!Value->is_number_integer()) {
    Impl->fault(Field, "expected " + Range);
    return Low;
  }
  const auto Number = Value->get<std::int64_t>();
  if (Number < Low || Number > High)
    Impl->fault(Field, std::to_string(Number) + " is not " + Range);
  return Number;
}

double settings_reader::decimal(const std::string &Field,
                                std::optional<double> Default, double Low,
                                double High) {
  const json *Value = Impl->find(Field, !Default);
  if (!Value)
    return Default.value_or(Low);
  const double Number = Value->is_number() ? Value->get<double>() : Low - 1;
  if (Number >= Low && Number <= High)
    return Number;
  Impl->fault(Field, "expected a number from " + json(Low).dump() + " to " +
                         json(High).dump());
  return Low;
}

bool settings_reader::has(const std::string &Field) const {
  return Impl->Object.contains(Field);
}

std::string settings_reader::text(const std::string &Field,
                                  const std::optional<std::string> &Default) {
  const json *Value = Impl->find(Field, !Default);
  if (!Value)
    return Default.value_or("");
  if (!Value->is_string()) {
    Impl->fault(Field, "expected a text");
    return "";
  }
  return Value->get<std::string>();
}

bool settings_reader::flag(const std::string &Field,
                           std::optional<bool> Default) {
  const json *Value = Impl->find(Field, !Default);
  if (!Value)
    return Default.value_or(false);
  if (!Value->is_boolean()) {
    Impl->fault(Field, "expected true or false");
    return false;
  }
  return Value->get<bool>();
}

/// Parses one address. Calls \p Fault with the reason if it is not valid.
static endpoint addressOf(const json &Value,
                          const std::function<void(std::string)> &Fault) {
  endpoint Parsed;
  const auto Failure = failureOf([&]() -> result<void> {
    const std::string Text = Value.is_string() ? Value.get<std::string>() : "";
    BOOST_LEAF_AUTO(Read, parseEndpoint(Text));
    Parsed = Read;
    return {};
  });
  if (Failure)
    Fault(Value.dump() + ": " + Failure->Reason);
  return Parsed;
}

endpoint settings_reader::address(const std::string &Field,
                                  std::optional<endpoint> Default) {
  const json *Value = Impl->find(Field, !Default);
  if (!Value)
    return Default.value_or(endpoint());
  return addressOf(*Value,
                   [&](const std::string &Why) { Impl->fault(Field, Why); });
}

std::vector<endpoint> settings_reader::addresses(const std::string &Field,
                                                 bool Required) {
  std::vector<endpoint> Addresses;
  const json *Value = Impl->find(Field, Required);
  if (!Value)
    return Addresses;
  if (!Value->is_array()) {
    Impl->fault(Field, "expected a list of addresses");
    return Addresses;
  }
  for (const json &Item : *Value)
    Addresses.push_back(addressOf(
        Item, [&](const std::string &Why) { Impl->fault(Field, Why); }));
  return Addresses;
}

std::vector<std::string> settings_reader::texts(const std::string &Field,
                                                bool Required) {
  std::vector<std::string> Texts;
  const json *Value = Impl->find(Field, Required);
  if (!Value)
    return Texts;
  if (!Value->is_array()) {
    Impl->fault(Field, "expected a list of texts");
    return Texts;
  }
  for (const json &Item : *Value) {
    if (Item.is_string())
      Texts.push_back(Item.get<std::string>());
    else
      Impl->fault(Field, Item.dump() + ": expected a text");
  }
  return Texts;
}

std::vector<settings_reader> settings_reader::objects(const std::string &Field,
                                                      bool Required) {
  std::vector<settings_reader> Readers;
  const json *Value = Impl->find(Field, Required);
  if (!Value)
    return Readers;
  if (!Value->is_array()) {
    Impl->fault(Field, "expected a list of objects");
    return Readers;
  }
  for (std::size_t I = 0; I < Value->size(); ++I) {
    auto State = std::make_unique<impl>();
    State->File = Impl->File;
    State->Step = Impl->Step;
    State->Prefix = Impl->Prefix + Field + "[" + std::to_string(I) + "].";
    State->Object = (*Value)[I];
    State->Faults = Impl->Faults;
    State->Lines = Impl->Lines;
    if (!State->Object.is_object()) {
      Impl->fault(Field, "expected a list of objects");
      continue;
    }
    Readers.push_back(settings_reader(std::move(State)));
  }
  return Readers;
}

void settings_reader::refuse(const std::string &Field,
                             const std::string &Reason) {
  Impl->fault(Field, Reason);
}

result<void> settings_reader::finish() {
  for (const auto &[Field, Value] : Impl->Object.items())
    if (Impl->Known.count(Field) == 0)
      Impl->fault(Field, "is not known here");
  if (Impl->Faults->empty())
    return {};
  std::string Reason;
  for (const std::string &Fault : *Impl->Faults)
    Reason += (Reason.empty() ? "" : "; ") + Fault;
  return fail(Impl->Step, Impl->File, Reason);
}

} // namespace marjoramrail
