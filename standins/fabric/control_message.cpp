#include "control_message.h"

#include <nlohmann/json.hpp>

namespace marjoramrail::standins {

using json = nlohmann::json;

static constexpr double MaxPercent = 100;
static constexpr double MaxMilliseconds = 60000;

static boost::leaf::error_id invalidField(const std::string &Field,
                                          const std::string &Reason) {
  return fail(step::DecodeMessage, Field, Reason);
}

static result<endpoint> endpointOf(const std::string &Field,
                                   const json &Value) {
  if (!Value.is_string())
    return invalidField(Field, "expected \"ADDRESS:PORT\"");
  return parseEndpoint(Value.get<std::string>());
}

static result<double> numberOf(const std::string &Field, const json &Value,
                               double Max) {
  if (!Value.is_number() || Value.get<double>() < 0 ||
      Value.get<double>() > Max)
    return invalidField(Field,
                        "expected a number from 0 to " + std::to_string(Max));
  return Value.get<double>();
}

static result<std::vector<endpoint>> endpointsOf(const std::string &Field,
                                                 const json &Value) {
  if (!Value.is_array())
    return invalidField(Field, "expected a list");
  std::vector<endpoint> List;
  for (const json &Item : Value) {
    BOOST_LEAF_AUTO(Endpoint, endpointOf(Field, Item));
    List.push_back(Endpoint);
  }
  return List;
}

static result<std::vector<fabric_cut>> cutsOf(const json &Value) {
  std::vector<fabric_cut> Cuts;
  if (!Value.is_object()) {
    BOOST_LEAF_AUTO(List, endpointsOf("cut", Value));
    for (const endpoint &Endpoint : List)
      Cuts.push_back({Endpoint, MaxPercent});
    return Cuts;
  }
  for (const auto &[Name, Percent] : Value.items()) {
    BOOST_LEAF_AUTO(Endpoint, parseEndpoint(Name));
    BOOST_LEAF_AUTO(Share, numberOf("cut", Percent, MaxPercent));
    Cuts.push_back({Endpoint, Share});
  }
  return Cuts;
}

static duration milliseconds(double Count) {
  return duration(static_cast<duration::rep>(Count * 1000));
}

namespace {

struct requested_change {
  std::vector<endpoint> Balancers;
  fabric_faults Faults;
};

} // namespace

static result<void> readField(const std::string &Name, const json &Value,
                              requested_change &Requested) {
  fabric_faults &Faults = Requested.Faults;
  if (Name == "balancers") {
    BOOST_LEAF_ASSIGN(Requested.Balancers, endpointsOf(Name, Value));
  } else if (Name == "cut") {
    BOOST_LEAF_ASSIGN(Faults.Cuts, cutsOf(Value));
  } else if (Name == "drop_percent") {
    BOOST_LEAF_ASSIGN(Faults.DropPercent, numberOf(Name, Value, MaxPercent));
  } else if (Name == "duplicate_percent") {
    BOOST_LEAF_ASSIGN(Faults.DuplicatePercent,
                      numberOf(Name, Value, MaxPercent));
  } else if (Name == "reorder_percent") {
    BOOST_LEAF_ASSIGN(Faults.ReorderPercent, numberOf(Name, Value, MaxPercent));
  } else if (Name == "delay_ms") {
    BOOST_LEAF_AUTO(Count, numberOf(Name, Value, MaxMilliseconds));
    Faults.Delay = milliseconds(Count);
  } else if (Name == "jitter_ms") {
    BOOST_LEAF_AUTO(Count, numberOf(Name, Value, MaxMilliseconds));
    Faults.Jitter = milliseconds(Count);
  } else {
    return invalidField(Name, "is no field of a control message");
  }
  return {};
}

static result<void> apply(fabric_model &Model, std::string_view Text) {
  const json Message = json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (!Message.is_object())
    return invalidField("message", "expected a JSON object");
  requested_change Requested{Model.balancers(), Model.faults()};
  for (const auto &[Name, Value] : Message.items())
    if (auto Read = readField(Name, Value, Requested); !Read)
      return Read.error();
  Model.setBalancers(std::move(Requested.Balancers));
  Model.faults() = std::move(Requested.Faults);
  return {};
}

std::string applyControl(fabric_model &Model, std::string_view Text) {
  const auto Failure = failureOf([&] { return apply(Model, Text); });
  const json Answer =
      Failure ? json{{"error", toText(*Failure)}} : json{{"ok", true}};
  return Answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace marjoramrail::standins
