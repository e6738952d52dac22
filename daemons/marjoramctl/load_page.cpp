#include "load_page.h"
#include "marjoramrail/runtime.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace marjoramrail::ctl {

using json = nlohmann::json;

static constexpr std::uint64_t Max16 =
    std::numeric_limits<std::uint16_t>::max();
static constexpr std::uint64_t Max32 =
    std::numeric_limits<std::uint32_t>::max();
/// Bounds times so that they can be converted to any unit without an overflow.
static constexpr std::uint64_t MaxMs = 1'000'000'000'000;
/// Bounds counters so that the sum over all balancers cannot overflow.
static constexpr std::uint64_t MaxCount = std::uint64_t{1} << 48;
static constexpr std::uint64_t MaxPriority =
    std::numeric_limits<std::uint8_t>::max();

static bool hasControl(const std::string &Text) {
  return std::any_of(Text.begin(), Text.end(), [](unsigned char Char) {
    return Char < 0x20 || Char == 0x7f;
  });
}

namespace {

/// Reads the fields of one entry. Collects the first error instead of throwing,
/// as the accessors of nlohmann::json do for a value of another type.
class entry_reader {
public:
  explicit entry_reader(const json &Entry) : Entry(Entry) {
    if (!Entry.is_object())
      fault("an entry is not an object");
  }

  bool has(const char *Field) const {
    return Entry.is_object() && Entry.contains(Field) &&
           !Entry.at(Field).is_null();
  }

  const json &at(const char *Field) const {
    static const json None;
    return has(Field) ? Entry.at(Field) : None;
  }

  std::uint64_t number(const char *Field, std::uint64_t High) {
    return numberIn(at(Field), Field, High);
  }

  bool flag(const char *Field) {
    if (!at(Field).is_boolean())
      fault(std::string(Field) + " is not true or false");
    return at(Field).is_boolean() && at(Field).get<bool>();
  }

  /// A control character is rejected: the name is printed to a terminal.
  std::string text(const char *Field) {
    const json &Value = at(Field);
    if (!Value.is_string() || Value.get_ref<const std::string &>().empty()) {
      fault(std::string(Field) + " is not a name");
      return "";
    }
    const auto &Text = Value.get_ref<const std::string &>();
    if (hasControl(Text))
      fault(std::string(Field) + " contains a control character");
    return Text;
  }

  /// Reads one number for each reported priority.
  std::array<std::uint16_t, ReportedPriorities> numbers(const char *Field) {
    std::array<std::uint16_t, ReportedPriorities> Numbers{};
    const json &List = at(Field);
    if (!List.is_array() || List.size() != Numbers.size()) {
      fault(std::string(Field) + " is not a list of " +
            std::to_string(Numbers.size()) + " numbers");
      return Numbers;
    }
    for (std::size_t I = 0; I < Numbers.size(); ++I)
      Numbers[I] =
          static_cast<std::uint16_t>(numberIn(List.at(I), Field, Max16));
    return Numbers;
  }

  void fault(const std::string &Reason) {
    if (Error.empty())
      Error = Reason;
  }

  const std::string &error() const { return Error; }

private:
  std::uint64_t numberIn(const json &Value, const char *Field,
                         std::uint64_t High) {
    // Positive integers are parsed as unsigned ones.
    if (Value.is_number_unsigned() && Value.get<std::uint64_t>() <= High)
      return Value.get<std::uint64_t>();
    fault(std::string(Field) + " is not a number from 0 to " +
          std::to_string(High));
    return 0;
  }

  const json &Entry;
  std::string Error;
};

} // namespace

static capacity_report readCapacity(entry_reader &Agent) {
  entry_reader Reader(Agent.at("capacity"));
  capacity_report Capacity;
  Capacity.FreeSlots =
      static_cast<std::uint16_t>(Reader.number("free_slots", Max16));
  Capacity.Waiting = Reader.numbers("waiting");
  const auto Waits = Reader.numbers("wait_ms");
  for (std::size_t I = 0; I < Waits.size(); ++I)
    Capacity.Wait[I] = std::chrono::milliseconds(Waits[I]);
  if (!Reader.error().empty())
    Agent.fault("capacity: " + Reader.error());
  return Capacity;
}

static agent_load readAgent(entry_reader &Reader) {
  agent_load Load;
  const std::string Address = Reader.text("agent");
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_ASSIGN(Load.Agent, parseEndpoint(Address));
    return {};
  });
  if (Failure)
    Reader.fault("agent: " + Failure->Reason);
  Load.Service = Reader.text("service");
  Load.Zone = Reader.text("zone");
  Load.Admitting = Reader.flag("admitting");
  Load.Suspect = Reader.flag("suspect");
  Load.Evacuated = Reader.flag("evacuated");
  Load.Flows = Reader.number("flows", Max32);
  Load.Busy = static_cast<std::uint32_t>(Reader.number("busy", Max16));
  Load.Active = static_cast<std::uint32_t>(Reader.number("active", Max16));
  Load.Slots = static_cast<std::uint32_t>(Reader.number("slots", Max16));
  if (Reader.has("report_age_ms"))
    Load.ReportAge =
        std::chrono::milliseconds(Reader.number("report_age_ms", MaxMs));
  if (Reader.has("capacity"))
    Load.Capacity = readCapacity(Reader);
  return Load;
}

static admission_state readAdmission(entry_reader &Reader) {
  admission_state State;
  State.Service = Reader.text("service");
  if (Reader.has("refuses_from_priority"))
    State.FromPriority = static_cast<std::uint8_t>(
        Reader.number("refuses_from_priority", MaxPriority));
  if (Reader.has("since_ms"))
    State.Since = std::chrono::milliseconds(Reader.number("since_ms", MaxMs));
  if (Reader.has("refused"))
    State.Refused = Reader.number("refused", MaxCount);
  return State;
}

static void leaveOut(load_page &Page, const std::string &Reason) {
  if (Page.LeftOut++ == 0)
    Page.FirstReason = Reason;
}

/// Reads the entries of \p List into \p Into and counts those left out.
template <typename Value, typename Reading>
static void readEntries(load_page &Page, const json &List,
                        std::vector<Value> &Into, const Reading &Read) {
  for (const json &Entry : List) {
    entry_reader Reader(Entry);
    Value Given = Read(Reader);
    if (Reader.error().empty())
      Into.push_back(std::move(Given));
    else
      leaveOut(Page, Reader.error());
  }
}

result<load_page> parseLoadPage(std::string_view Text,
                                const std::string &Balancer) {
  json Json;
  if (auto Parsed = parseJson(Text, Balancer, step::DecodeMessage, Json);
      !Parsed)
    return Parsed.error();
  if (!Json.is_object() || !Json.contains("agents") ||
      !Json.at("agents").is_array())
    return fail(step::DecodeMessage, Balancer, "the page lists no agents");
  load_page Page;
  Page.Balancer = Balancer;
  readEntries(Page, Json.at("agents"), Page.Agents, readAgent);
  // Balancers without admission control have no such list.
  if (Json.contains("admission")) {
    if (Json.at("admission").is_array())
      readEntries(Page, Json.at("admission"), Page.Admission, readAdmission);
    else
      leaveOut(Page, "admission is not a list");
  }
  if (Json.contains("evacuated_zones")) {
    if (Json.at("evacuated_zones").is_object())
      for (const auto &Zone : Json.at("evacuated_zones").items())
        if (hasControl(Zone.key()))
          leaveOut(Page, "evacuated_zones contains a control character");
        else
          Page.EvacuatedZones.insert(Zone.key());
    else
      leaveOut(Page, "evacuated_zones is not an object");
  }
  return Page;
}

} // namespace marjoramrail::ctl
